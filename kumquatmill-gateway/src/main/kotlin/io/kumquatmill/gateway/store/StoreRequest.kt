package io.kumquatmill.gateway.store

/** A call of the key-value service as it goes on the wire. */
class StoreRequest(
    val method: String,
    val target: String,
    val body: ByteArray,
)
