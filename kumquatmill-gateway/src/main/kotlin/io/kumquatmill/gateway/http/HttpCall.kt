package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress

/**
 * An HTTP/1.1 request that is sent at most once.
 *
 * @property target path and query exactly as they are sent
 * @property maxConnectionIdleMs idle time in milliseconds below which a connection is reused; after a longer time it may have failed
 * unnoticed. 0 forces a new connection
 * @property maxIdleConnections idle connections to [address] that may stay open when a new one is opened
 * @property connectTimeoutMs time in milliseconds within which the connection must be established
 * @property timeoutMs time in milliseconds within which the complete response must arrive, or null if the caller cancels the call itself
 * @property requestId id by which a response names this request, or null if responses name none
 * @property isOwnResponse returns whether a response is the one to this request; the connection of any other is closed, as the right one
 * may still arrive there
 * @property onHead called with the head of any response that arrives, before its body and also if that never arrives
 * @property mayKeepConnection returns whether the connection may stay open for other requests, once the response has arrived
 */
class HttpCall(
    val address: HostAddress,
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: ByteArray = EMPTY,
    val maxConnectionIdleMs: Long = Long.MAX_VALUE,
    val maxIdleConnections: Int = Int.MAX_VALUE,
    val connectTimeoutMs: Long,
    val timeoutMs: Long? = null,
    val requestId: String? = null,
    val isOwnResponse: (CallResult.Response) -> Boolean = { true },
    val onHead: (ResponseHead) -> Unit = { },
    val mayKeepConnection: () -> Boolean = { true },
) {
    private companion object {
        val EMPTY = ByteArray(0)
    }
}
