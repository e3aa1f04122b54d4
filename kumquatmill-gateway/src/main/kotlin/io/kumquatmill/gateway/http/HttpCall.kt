package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress

/**
 * One request over HTTP/1.1 that is sent at most once.
 *
 * @property target path and query exactly as they go on the wire
 * @property needsNewConnection whether a kept connection, which may have gone silent, is not good enough
 * @property timeoutMs time until the whole answer must be there, or null when the caller cancels by itself
 */
class HttpCall(
    val address: HostAddress,
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: ByteArray = EMPTY,
    val needsNewConnection: Boolean = false,
    val connectTimeoutMs: Long,
    val timeoutMs: Long? = null,
) {
    private companion object {
        val EMPTY = ByteArray(0)
    }
}
