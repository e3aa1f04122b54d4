package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** An entry of the key-value store; [revision] is that of its last write. */
@Serializable
data class StoreEntry(
    val key: String,
    val value: String,
    val revision: Long,
)
