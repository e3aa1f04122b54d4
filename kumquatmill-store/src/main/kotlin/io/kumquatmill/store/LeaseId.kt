package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** Identifier of a lease of the key-value store. */
@Serializable
@JvmInline
value class LeaseId(
    val value: Long,
)
