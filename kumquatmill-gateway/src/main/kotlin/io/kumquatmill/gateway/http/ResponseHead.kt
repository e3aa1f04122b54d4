package io.kumquatmill.gateway.http

import io.undertow.util.HeaderMap

/**
 * Head of a response, which may not be that to the request that was sent, and whose body may never arrive.
 *
 * @property use which connection carried it
 */
class ResponseHead(
    val status: Int,
    val headers: HeaderMap,
    val use: ConnectionUse,
)
