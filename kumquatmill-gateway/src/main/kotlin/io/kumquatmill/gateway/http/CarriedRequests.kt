package io.kumquatmill.gateway.http

import io.kumquatmill.common.hash.stableHash

/**
 * Ids of the requests that a connection has carried, at most [capacity] of them.
 *
 * Only hashes are kept: ids with the same hash count as one.
 */
internal class CarriedRequests(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private var hashes = LongArray(INITIAL_SIZE)
    private var count = 0

    /** Whether no more ids can be kept, so that the connection must not carry another request. */
    val isFull: Boolean
        get() = count >= capacity

    operator fun contains(requestId: String): Boolean {
        val hash = stableHash(requestId)
        return (0 until count).any { hashes[it] == hash }
    }

    /** Adds [requestId]; fails if [isFull]. */
    fun add(requestId: String) {
        check(!isFull) { "the connection has carried $capacity requests: open another one" }
        if (count == hashes.size) hashes = hashes.copyOf(minOf(count * 2, capacity))
        hashes[count++] = stableHash(requestId)
    }

    private companion object {
        const val INITIAL_SIZE = 8

        /** Bounds the memory of a connection to 4 KB; a new connection for every 512 requests costs little. */
        const val DEFAULT_CAPACITY = 512
    }
}
