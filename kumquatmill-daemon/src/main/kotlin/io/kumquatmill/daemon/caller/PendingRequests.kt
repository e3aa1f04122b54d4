package io.kumquatmill.daemon.caller

import io.kumquatmill.common.id.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The callers' requests that wait for an answer, bounded in number and in bytes held. */
internal class PendingRequests(
    private val maxRequests: Int,
    private val maxHeldBytes: Long,
) {
    private val requests = ConcurrentHashMap<RequestId, PendingRequest>()
    private val heldBytes = AtomicLong()

    val size: Int
        get() = requests.size

    operator fun get(id: RequestId): PendingRequest? = requests[id]

    /** Takes [request] in, or returns false when there is no room. */
    fun add(request: PendingRequest): Boolean {
        if (requests.size >= maxRequests) return false
        val bytes =
            request.upstream.body.size
                .toLong()
        if (heldBytes.addAndGet(bytes) > maxHeldBytes) {
            heldBytes.addAndGet(-bytes)
            return false
        }
        requests[request.id] = request
        return true
    }

    fun remove(id: RequestId): PendingRequest? {
        val removed = requests.remove(id) ?: return null
        heldBytes.addAndGet(
            -removed.upstream.body.size
                .toLong(),
        )
        return removed
    }
}
