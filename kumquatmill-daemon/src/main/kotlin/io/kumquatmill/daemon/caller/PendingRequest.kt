package io.kumquatmill.daemon.caller

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import org.http4k.core.Response
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** A caller's request that waits for its response. [sendResponse] is called at most once. */
internal class PendingRequest(
    val id: RequestId,
    val upstreamRequest: UpstreamRequest,
    val arrivedAtMs: Long,
    private val sendResponse: (Response) -> Unit,
) {
    private val hasResponded = AtomicBoolean()
    private val responses = ConcurrentHashMap<AttemptId, Response>()

    /** Stores the complete [response] of [attempt] until the node decides whether to relay it. */
    fun storeResponse(
        attempt: AttemptId,
        response: Response,
    ) {
        responses[attempt] = response
    }

    /** Removes and returns the response of [attempt], or returns null if none is stored. */
    fun takeResponse(attempt: AttemptId): Response? = responses.remove(attempt)

    /** Sends [response] to the caller unless a response has already been sent. */
    fun respond(response: Response) {
        if (hasResponded.compareAndSet(false, true)) sendResponse(response)
    }
}
