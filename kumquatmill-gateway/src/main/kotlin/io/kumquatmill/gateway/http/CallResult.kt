package io.kumquatmill.gateway.http

import io.undertow.util.HeaderMap

/** Outcome of an [HttpCall], as observed on its connection. */
sealed interface CallResult {
    /** Which connection carried the call, or null if none did, or one of another host. */
    val use: ConnectionUse?

    /** The complete response was received; [isConnectionReused] states whether its connection had carried other responses before. */
    class Response(
        val status: Int,
        val headers: HeaderMap,
        val body: ByteArray,
        val isConnectionReused: Boolean = false,
        override val use: ConnectionUse? = null,
    ) : CallResult {
        /** Returns the first value of header [name], or null if it is absent. */
        fun header(name: String): String? = headers.getFirst(name)
    }

    /**
     * No byte of the request was sent, so it is safe to retry; [detail] states the cause, and [isRefused] whether the server's address
     * refused the connection.
     */
    class NotSent(
        val detail: String,
        val isRefused: Boolean = false,
    ) : CallResult {
        override val use = null
    }

    /**
     * The request was sent, at least in part, and no complete response was received. The server may have executed it;
     * [detail] states the cause, [isConnectionLost] whether the connection ended before the head of a response, [isTooLong] whether the
     * response is longer than this host accepts, and [isMalformed] whether what was received is not one response.
     */
    class Incomplete(
        val detail: String,
        val isConnectionLost: Boolean = false,
        val isTooLong: Boolean = false,
        val isMalformed: Boolean = false,
        override val use: ConnectionUse? = null,
    ) : CallResult
}
