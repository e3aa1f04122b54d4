package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Identifier of a request from a caller; every attempt of the request carries it. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}
