package io.kumquatmill.node.request

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import java.util.TreeSet

/** All requests that were admitted and not answered yet, by request, by attempt and by deadline. */
internal class RequestTable {
    private val requests = HashMap<RequestId, OpenRequest>()
    private val requestByAttempt = HashMap<AttemptId, OpenRequest>()
    private val byDeadline = TreeSet(compareBy<OpenRequest>({ it.state.deadlineAtMs }, { it.id.value }))
    private var lastAttempt = 0L

    /** Number of requests not answered yet. */
    val size: Int
        get() = requests.size

    fun add(request: OpenRequest) {
        requests[request.id] = request
        byDeadline += request
    }

    operator fun get(id: RequestId): OpenRequest? = requests[id]

    fun byAttempt(attempt: AttemptId): OpenRequest? = requestByAttempt[attempt]

    fun nextAttemptId(): AttemptId {
        lastAttempt += 1
        return AttemptId(lastAttempt)
    }

    fun startAttempt(
        request: OpenRequest,
        attempt: ActiveAttempt,
    ) {
        request.attempt = attempt
        request.state = request.state.withAttempt(attempt.worker.id)
        requestByAttempt[attempt.id] = request
    }

    /** Ends the attempt that is under way for [request] and returns it. */
    fun endAttempt(request: OpenRequest): ActiveAttempt? {
        val attempt = request.attempt ?: return null
        request.attempt = null
        requestByAttempt.remove(attempt.id)
        return attempt
    }

    fun remove(request: OpenRequest) {
        endAttempt(request)
        requests.remove(request.id)
        byDeadline.remove(request)
    }

    /** Returns the requests whose deadline has passed at [nowMs]. */
    fun overdue(nowMs: Long): List<OpenRequest> = byDeadline.takeWhile { it.state.deadlineAtMs <= nowMs }
}
