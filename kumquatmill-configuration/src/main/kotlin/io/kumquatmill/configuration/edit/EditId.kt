package io.kumquatmill.configuration.edit

import kotlinx.serialization.Serializable

/** Idempotency key of an edit; an edit that is repeated with the same identifier takes effect once. */
@Serializable
@JvmInline
value class EditId(
    val value: String,
) {
    override fun toString(): String = value
}
