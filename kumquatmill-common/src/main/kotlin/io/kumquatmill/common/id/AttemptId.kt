package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Identifier of one attempt to have a worker serve a request, unique within an entry host. */
@Serializable
@JvmInline
value class AttemptId(
    val value: Long,
) {
    override fun toString(): String = value.toString()
}
