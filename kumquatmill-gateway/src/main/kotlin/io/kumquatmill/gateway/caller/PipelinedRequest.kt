package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange

/**
 * A request as [CallerPipeline] sees it. No method throws an exception because of an error in the request itself: such an error is its
 * response, so that it cannot end another request of the connection.
 */
internal interface PipelinedRequest {
    val id: String

    /** Head of the request; the server must read the same one when the turn of the request comes. */
    val head: ReceivedHead

    /** Whether requests behind this one on the connection may run at the same time. */
    val allowsOthersBehind: Boolean

    /** Starts the request before its turn; [attach] must follow unless it is cancelled. */
    fun startAhead()

    /** Answers the request, whose turn has come, on [exchange]. */
    fun attach(exchange: HttpServerExchange)

    /** Ends a request that was started before its turn and will not be answered, with [outcome] in the logs. */
    fun cancel(outcome: String)

    /** Cancels the request in progress if it is idempotent, because the caller has closed its connection. */
    fun onCallerDisconnected()
}
