package io.kumquatmill.daemon.caller

import org.http4k.core.Headers

private val strippedHeaders =
    setOf("connection", "keep-alive", "proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "date")
private const val INTERNAL_HEADER_PREFIX = "kumquatmill-"

/** Returns the [headers] of a worker's response that are forwarded to the caller. */
internal fun callerResponseHeaders(headers: Headers): Headers =
    headers.filterNot { (name, _) -> name.lowercase() in strippedHeaders || name.lowercase().startsWith(INTERNAL_HEADER_PREFIX) }
