package io.kumquatmill.daemon.caller

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.RequestId
import org.http4k.core.Response
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** A caller's request that waits for its answer; [respond] is called once at most. */
internal class PendingRequest(
    val id: RequestId,
    val upstream: UpstreamRequest,
    val arrivedAtMs: Long,
    private val respond: (Response) -> Unit,
) {
    private val isAnswered = AtomicBoolean()
    private val answers = ConcurrentHashMap<AttemptId, Response>()

    /** Keeps the complete answer of [attempt] until the node decides on it. */
    fun keep(
        attempt: AttemptId,
        answer: Response,
    ) {
        answers[attempt] = answer
    }

    /** Returns and forgets the answer of [attempt]. */
    fun take(attempt: AttemptId): Response? = answers.remove(attempt)

    /** Sends [response] to the caller unless it was answered before. */
    fun answer(response: Response) {
        if (isAnswered.compareAndSet(false, true)) respond(response)
    }
}
