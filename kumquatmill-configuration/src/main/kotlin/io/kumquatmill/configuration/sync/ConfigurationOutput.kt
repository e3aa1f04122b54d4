package io.kumquatmill.configuration.sync

import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.configuration.current.ConfigurationUpdateError

/**
 * Result of an event of [ConfigurationSync].
 *
 * @property sends messages to send to peers.
 * @property isChanged whether a new configuration was activated.
 * @property error why a received configuration was not activated, or null if none was rejected.
 */
data class ConfigurationOutput(
    val sends: List<OutgoingMessage<ConfigurationMessage>> = emptyList(),
    val isChanged: Boolean = false,
    val error: ConfigurationUpdateError? = null,
)
