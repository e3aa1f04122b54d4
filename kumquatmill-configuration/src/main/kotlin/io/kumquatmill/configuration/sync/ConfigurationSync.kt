package io.kumquatmill.configuration.sync

import arrow.core.Either
import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.register.ConfigurationRegister
import io.kumquatmill.configuration.register.RegisterError

/**
 * Keeps a [ConfigurationRegister] up to date from the store and from peers.
 *
 * Tell it every revision that a peer mentions. It asks a peer for newer lists when the store does not bring them within
 * [pullDelayMs], one peer at a time. It is not safe for use by several threads.
 */
class ConfigurationSync(
    val register: ConfigurationRegister = ConfigurationRegister(),
    private val pullDelayMs: Long = DEFAULT_PULL_DELAY_MS,
    private val pullTimeoutMs: Long = DEFAULT_PULL_TIMEOUT_MS,
) {
    private var newer: NewerLists? = null
    private var pullSentAtMs: Long? = null

    /** Takes the [value] that the lists' entry has in the store since [storeRevision]. */
    fun onStoreValue(
        value: String?,
        storeRevision: Long,
    ): ConfigurationOutput = register.offerStored(value, storeRevision).toOutput()

    /** Notes that [host] has the lists of [revision] in force. */
    fun onPeerRevision(
        nowMs: Long,
        host: HostId,
        revision: Long,
    ): ConfigurationOutput {
        if (revision <= register.revision) return ConfigurationOutput()
        val known = newer
        if (known == null || revision >= known.revision) newer = NewerLists(host, revision, known?.sinceMs ?: nowMs)
        return onTick(nowMs)
    }

    /** Asks for newer lists if it is time to. */
    fun onTick(nowMs: Long): ConfigurationOutput {
        val wanted = newer ?: return ConfigurationOutput()
        if (wanted.revision <= register.revision) {
            newer = null
            return ConfigurationOutput()
        }
        return if (isPullDue(nowMs, wanted)) pull(nowMs, wanted) else ConfigurationOutput()
    }

    /** Takes a message of the same part of the host [from]. */
    fun onMessage(
        from: HostId,
        message: ConfigurationMessage,
    ): ConfigurationOutput =
        when (message) {
            is ConfigurationMessage.Pull -> answerPull(from, message)
            is ConfigurationMessage.Push -> takePush(message)
        }

    private fun isPullDue(
        nowMs: Long,
        wanted: NewerLists,
    ): Boolean {
        val isDelayOver = register.snapshot == null || nowMs - wanted.sinceMs >= pullDelayMs
        val isPullOpen = pullSentAtMs?.let { nowMs - it < pullTimeoutMs } ?: false
        return isDelayOver && !isPullOpen
    }

    private fun pull(
        nowMs: Long,
        wanted: NewerLists,
    ): ConfigurationOutput {
        pullSentAtMs = nowMs
        return ConfigurationOutput(sends = listOf(OutgoingMessage(wanted.host, ConfigurationMessage.Pull(register.revision))))
    }

    private fun answerPull(
        from: HostId,
        message: ConfigurationMessage.Pull,
    ): ConfigurationOutput {
        val snapshot = register.snapshot
        if (snapshot == null || snapshot.revision <= message.haveRevision) return ConfigurationOutput()
        return ConfigurationOutput(sends = listOf(OutgoingMessage(from, ConfigurationMessage.Push(snapshot.versioned))))
    }

    private fun takePush(message: ConfigurationMessage.Push): ConfigurationOutput {
        pullSentAtMs = null
        return register.offer(message.versioned).toOutput()
    }

    private fun Either<RegisterError, Boolean>.toOutput(): ConfigurationOutput =
        fold({ ConfigurationOutput(error = it) }, { ConfigurationOutput(isChanged = it) })

    companion object {
        /** Time that the store has to bring newer lists before a peer is asked. */
        const val DEFAULT_PULL_DELAY_MS: Long = 300

        /** Time after which an unanswered question is asked again. */
        const val DEFAULT_PULL_TIMEOUT_MS: Long = 1_000
    }
}

private data class NewerLists(
    val host: HostId,
    val revision: Long,
    val sinceMs: Long,
)
