package io.kumquatmill.traffic.control

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.admission.AdmissionDecision
import io.kumquatmill.traffic.admission.AdmissionRequest
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.placement.PlacementQuery
import io.kumquatmill.traffic.placement.TrackedWorker

/**
 * A request that was accepted and has no final response yet.
 *
 * @property workspace workspace of the request, or null if it came without a key on a route that needs none
 * @property deadlineAtMs time on the monotonic clock by which the caller must get a response
 */
class TrafficRequest internal constructor(
    val route: TrafficRoute,
    val workspace: Workspace?,
    val upstream: UpstreamId,
    val deadlineAtMs: Long,
    internal val tokenWaitEndsAtMs: Long,
    internal val affinityHash: Long,
    internal val hasAffinityKey: Boolean,
    internal val requestHash: Long,
    internal val isCallerRetry: Boolean,
    internal val priorityRank: Int,
    internal val fingerprint: RequestFingerprint,
    internal val admission: AdmissionRequest? = null,
) {
    /** Latest decision of the admission by cost, or null if that is off or has not decided. */
    val admissionDecision: AdmissionDecision?
        get() = admission?.decision

    /** Number of attempts so far. */
    var attempts: Int = 0
        internal set

    /** Whether the request waits for rate tokens. It is sent only when it does not wait, and no attempt is in progress. */
    internal var isWaiting: Boolean = false

    /** Number of times that the request has waited for rate tokens. */
    internal var tokenWaits: Int = 0

    /** Number of attempts that a worker may have executed. */
    internal var possibleExecutions: Int = 0

    /** Number of attempts whose connection was lost without a response. */
    internal var lostAttempts: Int = 0
    internal val triedWorkers = LinkedHashSet<WorkerId>()
    internal var currentAttempt: Attempt? = null

    /** Workers to which the request was sent, in order. */
    val workers: Collection<WorkerId>
        get() = triedWorkers

    internal class Attempt(
        val worker: TrackedWorker,
        val query: PlacementQuery,
        val sentAtMs: Long,
        val wasCached: Boolean,
        val hadFreeSlot: Boolean,
        val relay: String?,
    )
}
