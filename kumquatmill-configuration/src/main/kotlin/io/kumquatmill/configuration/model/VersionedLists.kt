package io.kumquatmill.configuration.model

import kotlinx.serialization.Serializable

/** The operators' lists as accepted by the key-value service at [revision]; higher revisions replace lower ones. */
@Serializable
data class VersionedLists(
    val revision: Long,
    val lists: OperatorLists,
)
