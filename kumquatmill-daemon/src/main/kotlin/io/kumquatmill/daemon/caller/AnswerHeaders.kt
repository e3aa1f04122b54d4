package io.kumquatmill.daemon.caller

import org.http4k.core.Headers

private val droppedHeaders =
    setOf("connection", "keep-alive", "proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "date")
private const val OWN_PREFIX = "kumquatmill-"

/** Returns the headers of a worker's answer that its caller may see. */
internal fun callerHeaders(headers: Headers): Headers =
    headers.filterNot { (name, _) -> name.lowercase() in droppedHeaders || name.lowercase().startsWith(OWN_PREFIX) }
