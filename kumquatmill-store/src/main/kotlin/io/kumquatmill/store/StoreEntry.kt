package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** A value of the key-value service; [revision] is that of its last write. */
@Serializable
data class StoreEntry(
    val key: String,
    val value: String,
    val revision: Long,
)
