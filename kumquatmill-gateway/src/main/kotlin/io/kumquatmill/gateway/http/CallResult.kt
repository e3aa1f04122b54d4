package io.kumquatmill.gateway.http

import io.undertow.util.HeaderMap

/** How an [HttpCall] ended, from what its connection saw. */
sealed interface CallResult {
    /** The whole answer arrived. */
    class Response(
        val status: Int,
        val headers: HeaderMap,
        val body: ByteArray,
    ) : CallResult {
        /** Returns the first value of header [name], or null. */
        fun header(name: String): String? = headers.getFirst(name)
    }

    /** No byte of the request was sent. */
    class NotSent(
        val detail: String,
    ) : CallResult

    /** The request was sent, at least in part, and there is no whole answer. */
    class Incomplete(
        val detail: String,
    ) : CallResult
}
