package io.kumquatmill.node.request

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId

/** All requests that were admitted and not answered yet, by request and by attempt. */
internal class RequestTable {
    private val requests = LinkedHashMap<RequestId, RequestState>()
    private val requestByAttempt = HashMap<AttemptId, RequestState>()
    private var lastAttempt = 0L

    /** Number of requests not answered yet. */
    val size: Int
        get() = requests.size

    /** Number of attempts under way. */
    val attemptCount: Int
        get() = requestByAttempt.size

    fun add(request: RequestState) {
        requests[request.id] = request
    }

    operator fun get(id: RequestId): RequestState? = requests[id]

    fun byAttempt(attempt: AttemptId): RequestState? = requestByAttempt[attempt]

    fun nextAttemptId(): AttemptId {
        lastAttempt += 1
        return AttemptId(lastAttempt)
    }

    fun startAttempt(
        request: RequestState,
        attempt: ActiveAttempt,
    ) {
        request.attempt = attempt
        request.attemptCount += 1
        request.triedWorkers += attempt.worker
        requestByAttempt[attempt.id] = request
    }

    /** Ends the attempt that is under way for [request] and returns it. */
    fun endAttempt(request: RequestState): ActiveAttempt? {
        val attempt = request.attempt ?: return null
        request.attempt = null
        requestByAttempt.remove(attempt.id)
        return attempt
    }

    fun remove(request: RequestState) {
        endAttempt(request)
        requests.remove(request.id)
    }

    /** Returns the requests whose deadline has passed at [nowMs]. */
    fun overdue(nowMs: Long): List<RequestState> = requests.values.filter { it.remainingMs(nowMs) <= 0 }
}
