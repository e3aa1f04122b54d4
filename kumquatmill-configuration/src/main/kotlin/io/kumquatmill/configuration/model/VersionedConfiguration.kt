package io.kumquatmill.configuration.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A configuration and the [revision] at which the key-value store accepted it; higher revisions replace lower ones. */
@Serializable
@SerialName("io.kumquatmill.configuration.model.VersionedLists")
data class VersionedConfiguration(
    val revision: Long,
    @SerialName("lists")
    val configuration: OperatorConfiguration,
)
