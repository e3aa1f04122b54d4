package io.kumquatmill.scenario.history

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.model.Topology

/** Everything that was observed in one run of a scenario, in the order of time. */
data class History(
    val topology: Topology,
    val observations: List<Observation>,
    val endMs: Long,
) {
    /** Returns whether requests of [route] may run more than once. */
    fun isIdempotent(route: RouteId): Boolean = topology.routes.first { it.id == route }.isIdempotent

    /** Returns the slots of [worker]. */
    fun slotsOf(worker: WorkerId): Int = topology.workers.first { it.id == worker }.slots

    /** Returns the observations of type [T], in the order of time. */
    inline fun <reified T : Observation> all(): List<T> = observations.filterIsInstance<T>()

    /** Returns the hosts that were ever started. */
    fun hosts(): Set<HostId> = all<Observation.HostStarted>().map { it.host }.toSet()
}
