package io.kumquatmill.node.request

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import java.util.TreeSet

/** Active requests, indexed by request ID, attempt ID and deadline. */
internal class RequestTable {
    private val requests = HashMap<RequestId, ActiveRequest>()
    private val requestByAttempt = HashMap<AttemptId, ActiveRequest>()
    private val byDeadline = TreeSet(compareBy<ActiveRequest>({ it.state.deadlineAtMs }, { it.id.value }))
    private var lastAttemptId = 0L

    /** Number of active requests. */
    val size: Int
        get() = requests.size

    fun add(request: ActiveRequest) {
        requests[request.id] = request
        byDeadline += request
    }

    operator fun get(id: RequestId): ActiveRequest? = requests[id]

    fun byAttempt(attempt: AttemptId): ActiveRequest? = requestByAttempt[attempt]

    fun nextAttemptId(): AttemptId {
        lastAttemptId += 1
        return AttemptId(lastAttemptId)
    }

    fun startAttempt(
        request: ActiveRequest,
        attempt: ActiveAttempt,
    ) {
        request.attempt = attempt
        request.state = request.state.withAttempt(attempt.worker.id)
        requestByAttempt[attempt.id] = request
    }

    /** Ends the attempt in progress of [request] and returns it, or null if there is none. */
    fun endAttempt(request: ActiveRequest): ActiveAttempt? {
        val attempt = request.attempt ?: return null
        request.attempt = null
        requestByAttempt.remove(attempt.id)
        return attempt
    }

    fun remove(request: ActiveRequest) {
        endAttempt(request)
        requests.remove(request.id)
        byDeadline.remove(request)
    }

    /** Returns the requests whose deadline has passed at [nowMs]. */
    fun expired(nowMs: Long): List<ActiveRequest> = byDeadline.takeWhile { it.state.deadlineAtMs <= nowMs }
}
