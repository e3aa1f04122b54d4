package io.kumquatmill.configuration.edit

import kotlinx.serialization.Serializable

/** Identifier of one edit by one operator; a repeated edit with the same identifier takes effect once. */
@Serializable
@JvmInline
value class EditId(
    val value: String,
) {
    override fun toString(): String = value
}
