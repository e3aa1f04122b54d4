package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** A value of the key-value service; [revision] is that of its last write. */
@Serializable
data class StoreEntry(
    val key: String,
    val value: String,
    val revision: Long,
)

/** A change of one key at [revision]; [value] is null when the entry was deleted or its lease lapsed. */
@Serializable
data class StoreChange(
    val key: String,
    val value: String?,
    val revision: Long,
)

/** Identifier of a lease of the key-value service. */
@Serializable
@JvmInline
value class LeaseId(
    val value: Long,
)
