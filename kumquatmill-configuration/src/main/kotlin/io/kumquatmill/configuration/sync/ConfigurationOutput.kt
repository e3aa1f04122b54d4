package io.kumquatmill.configuration.sync

import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.configuration.register.RegisterError

/** What [ConfigurationSync] wants done: messages to send, and what became of the lists that arrived. */
data class ConfigurationOutput(
    val sends: List<OutgoingMessage<ConfigurationMessage>> = emptyList(),
    val isChanged: Boolean = false,
    val error: RegisterError? = null,
)
