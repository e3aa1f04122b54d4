package io.kumquatmill.configuration.sync

import io.kumquatmill.configuration.model.VersionedLists
import kotlinx.serialization.Serializable

/** What the configuration parts of two entry hosts say to each other. */
@Serializable
sealed interface ConfigurationMessage {
    /** Asks for the lists in force at the receiver if their revision is higher than [haveRevision]. */
    @Serializable
    data class Pull(
        val haveRevision: Long,
    ) : ConfigurationMessage

    /** Carries the lists in force at the sender. */
    @Serializable
    data class Push(
        val versioned: VersionedLists,
    ) : ConfigurationMessage
}
