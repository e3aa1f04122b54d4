package io.kumquatmill.traffic.desk

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.placement.PlacementQuery
import io.kumquatmill.traffic.placement.WorkerTrack

/** A request that was taken in and is not answered yet. */
class TrafficRequest internal constructor(
    val route: TrafficRoute,
    val workspace: Workspace?,
    val upstream: UpstreamId,
    val endsAtMs: Long,
    internal val keyHash: Long,
    internal val isKeyed: Boolean,
    internal val requestHash: Long,
    internal val isReturning: Boolean,
    internal val rank: Int,
) {
    /** Sendings so far. */
    var attempts: Int = 0
        internal set

    /** Sendings of which a worker may have run. */
    internal var runs: Int = 0
    internal val triedWorkers = LinkedHashSet<WorkerId>()
    internal var current: Sending? = null

    /** Workers that it was sent to, in order. */
    val workers: Collection<WorkerId>
        get() = triedWorkers

    internal class Sending(
        val track: WorkerTrack,
        val query: PlacementQuery,
        val sentAtMs: Long,
        val wasWarm: Boolean,
        val hadRoom: Boolean,
    )
}
