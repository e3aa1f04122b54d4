package io.kumquatmill.gateway.store

/**
 * HTTP request of a call to the key-value store.
 *
 * @property target path and query, percent-encoded
 */
class StoreRequest(
    val method: String,
    val target: String,
    val body: ByteArray,
)
