package io.kumquatmill.scenario.history

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.model.Topology

/** All observations of one run of a scenario on [topology], in chronological order; the run ended at [endMs]. */
data class History(
    val topology: Topology,
    val observations: List<Observation>,
    val endMs: Long,
) {
    /** Returns whether requests on [route] may run more than once. */
    fun isIdempotent(route: RouteId): Boolean = topology.routes.first { it.id == route }.isIdempotent

    /** Returns the number of requests that [worker] can run at the same time. */
    fun slotsOf(worker: WorkerId): Int = topology.workers.first { it.id == worker }.slots

    /** Returns the observations of type [T], in chronological order. */
    inline fun <reified T : Observation> observationsOf(): List<T> = observations.filterIsInstance<T>()

    /** Returns the hosts that were started at least once. */
    fun hosts(): Set<HostId> = observationsOf<Observation.HostStarted>().map { it.host }.toSet()
}
