package io.kumquatmill.daemon.caller

import io.kumquatmill.common.id.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Callers' requests that wait for a response, limited in number and in total body size. */
internal class PendingRequests(
    private val maxRequests: Int,
    private val maxBufferedBytes: Long,
) {
    private val requests = ConcurrentHashMap<RequestId, PendingRequest>()
    private val bufferedBytes = AtomicLong()

    val size: Int
        get() = requests.size

    operator fun get(id: RequestId): PendingRequest? = requests[id]

    /** Adds [request], or returns false if a limit would be exceeded. */
    fun add(request: PendingRequest): Boolean {
        if (requests.size >= maxRequests) return false
        val bytes =
            request.upstreamRequest.body.size
                .toLong()
        if (bufferedBytes.addAndGet(bytes) > maxBufferedBytes) {
            bufferedBytes.addAndGet(-bytes)
            return false
        }
        requests[request.id] = request
        return true
    }

    /** Removes and returns the request [id], or returns null if it is not pending. */
    fun remove(id: RequestId): PendingRequest? {
        val removed = requests.remove(id) ?: return null
        bufferedBytes.addAndGet(
            -removed.upstreamRequest.body.size
                .toLong(),
        )
        return removed
    }
}
