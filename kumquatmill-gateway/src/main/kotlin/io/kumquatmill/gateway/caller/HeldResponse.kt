package io.kumquatmill.gateway.caller

import io.undertow.server.HttpServerExchange

/** The final response to a request, which waits for its turn if the request was read ahead; [respond] sends it. */
internal class HeldResponse(
    val status: Int,
    val outcome: String,
    val bodyBytes: Int,
    val respond: (HttpServerExchange) -> Unit,
)
