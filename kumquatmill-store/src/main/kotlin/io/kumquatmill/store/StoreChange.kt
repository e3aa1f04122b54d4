package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** A change of the entry of [key] at [revision]; [value] is null when the entry was deleted or its lease expired. */
@Serializable
data class StoreChange(
    val key: String,
    val value: String?,
    val revision: Long,
)
