package io.kumquatmill.configuration.sync

import io.kumquatmill.configuration.model.VersionedConfiguration
import kotlinx.serialization.Serializable

/** Message between two entry hosts that synchronize their configuration. */
@Serializable
sealed interface ConfigurationMessage {
    /** Requests the active configuration of the receiver if its revision is higher than [haveRevision]. */
    @Serializable
    data class Pull(
        val haveRevision: Long,
    ) : ConfigurationMessage

    /** Carries the active configuration of the sender. */
    @Serializable
    data class Push(
        val versioned: VersionedConfiguration,
    ) : ConfigurationMessage
}
