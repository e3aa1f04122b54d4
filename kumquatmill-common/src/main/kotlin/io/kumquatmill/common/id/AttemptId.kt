package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Identifier of one attempt to send a request to a worker, unique within an entry host. */
@Serializable
@JvmInline
value class AttemptId(
    val value: Long,
) {
    override fun toString(): String = value.toString()
}
