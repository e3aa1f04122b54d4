package io.kumquatmill.gateway.store

/** HTTP request of a call to the key-value service. */
class StoreRequest(
    val method: String,
    val target: String,
    val body: ByteArray,
)
