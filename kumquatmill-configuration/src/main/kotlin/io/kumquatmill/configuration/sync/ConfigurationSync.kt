package io.kumquatmill.configuration.sync

import arrow.core.Either
import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.current.ConfigurationUpdateError
import io.kumquatmill.configuration.current.CurrentConfiguration

/**
 * Keeps a [CurrentConfiguration] up to date from the store and from peers.
 *
 * Pass every revision that a peer reports to [onPeerRevision]. If the store does not deliver a newer configuration within
 * [pullDelayMs], it is requested from a peer; a host without a configuration requests it immediately. There is at most
 * one request in flight, which is repeated if there is no reply within [pullTimeoutMs]. This class is not thread-safe.
 */
class ConfigurationSync(
    val current: CurrentConfiguration = CurrentConfiguration(),
    private val pullDelayMs: Long = DEFAULT_PULL_DELAY_MS,
    private val pullTimeoutMs: Long = DEFAULT_PULL_TIMEOUT_MS,
) {
    private var newestPeerRevision: PeerRevision? = null
    private var pullSentAtMs: Long? = null

    /** Handles the document [value] that was stored at [storeRevision]; null means that the entry was deleted. */
    fun onStoreValue(
        value: String?,
        storeRevision: Long,
    ): ConfigurationOutput = current.updateFromStore(value, storeRevision).toOutput()

    /** Handles the report that the configuration of [revision] is active on [host]; may request it. */
    fun onPeerRevision(
        nowMs: Long,
        host: HostId,
        revision: Long,
    ): ConfigurationOutput {
        if (revision <= current.revision) return ConfigurationOutput()
        val previous = newestPeerRevision
        if (previous == null || revision >= previous.revision) {
            newestPeerRevision = PeerRevision(host, revision, previous?.firstKnownAtMs ?: nowMs)
        }
        return onTick(nowMs)
    }

    /** Requests a newer configuration from a peer if one is known and a request is due. */
    fun onTick(nowMs: Long): ConfigurationOutput {
        val target = newestPeerRevision ?: return ConfigurationOutput()
        if (target.revision <= current.revision) {
            newestPeerRevision = null
            return ConfigurationOutput()
        }
        return if (isPullDue(nowMs, target)) sendPull(nowMs, target) else ConfigurationOutput()
    }

    /** Handles a message of the host [from]. */
    fun onMessage(
        from: HostId,
        message: ConfigurationMessage,
    ): ConfigurationOutput =
        when (message) {
            is ConfigurationMessage.Pull -> handlePull(from, message)
            is ConfigurationMessage.Push -> handlePush(message)
        }

    private fun isPullDue(
        nowMs: Long,
        target: PeerRevision,
    ): Boolean {
        val isDelayElapsed = current.snapshot == null || nowMs - target.firstKnownAtMs >= pullDelayMs
        val isPullPending = pullSentAtMs?.let { nowMs - it < pullTimeoutMs } ?: false
        return isDelayElapsed && !isPullPending
    }

    private fun sendPull(
        nowMs: Long,
        target: PeerRevision,
    ): ConfigurationOutput {
        pullSentAtMs = nowMs
        return ConfigurationOutput(sends = listOf(OutgoingMessage(target.host, ConfigurationMessage.Pull(current.revision))))
    }

    private fun handlePull(
        from: HostId,
        message: ConfigurationMessage.Pull,
    ): ConfigurationOutput {
        val snapshot = current.snapshot
        if (snapshot == null || snapshot.revision <= message.haveRevision) return ConfigurationOutput()
        return ConfigurationOutput(sends = listOf(OutgoingMessage(from, ConfigurationMessage.Push(snapshot.versioned))))
    }

    private fun handlePush(message: ConfigurationMessage.Push): ConfigurationOutput {
        pullSentAtMs = null
        return current.updateFromPeer(message.versioned).toOutput()
    }

    private fun Either<ConfigurationUpdateError, Boolean>.toOutput(): ConfigurationOutput =
        fold({ ConfigurationOutput(error = it) }, { ConfigurationOutput(isChanged = it) })

    companion object {
        /** Time to wait for the store to deliver a newer configuration before a peer is asked. */
        const val DEFAULT_PULL_DELAY_MS: Long = 300

        /** Time after which a request without a reply is repeated. */
        const val DEFAULT_PULL_TIMEOUT_MS: Long = 1_000
    }
}

/** Newest revision reported by a peer; [firstKnownAtMs] is when a revision newer than the active one was first reported. */
private data class PeerRevision(
    val host: HostId,
    val revision: Long,
    val firstKnownAtMs: Long,
)
