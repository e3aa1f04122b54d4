package io.kumquatmill.traffic.control

/**
 * A request to explain, which is not sent.
 *
 * @property host value of the `Host` header
 * @property target path and query as a caller would send them
 * @property affinityKey key that all requests for the same object share, or null if the request has none
 * @property workspace name of the workspace whose key the request would carry, or null if it would carry none
 */
data class ExplainedRequest(
    val host: String,
    val target: String,
    val method: String = "GET",
    val affinityKey: String? = null,
    val workspace: String? = null,
)
