package io.kumquatmill.node

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.current.ConfigurationSnapshot
import io.kumquatmill.configuration.current.CurrentConfiguration
import io.kumquatmill.configuration.sync.ConfigurationOutput
import io.kumquatmill.configuration.sync.ConfigurationSync
import io.kumquatmill.limits.ledger.LedgerSettings
import io.kumquatmill.limits.ledger.LoanEvent
import io.kumquatmill.limits.ledger.ShareLedger
import io.kumquatmill.membership.MembershipAgent
import io.kumquatmill.membership.MembershipLifecycle
import io.kumquatmill.membership.MembershipOutput
import io.kumquatmill.membership.fleet.KnownHost
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.node.limit.LimitCatalogue
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.node.message.PeerMessage
import kotlin.random.Random

/** Runs the protocols between entry hosts: membership, configuration sync and the share ledger. */
internal class FleetCoordinator(
    private val settings: NodeSettings,
    random: Random,
) {
    private val host = settings.description.host
    private val currentConfiguration = CurrentConfiguration()
    private val sync = ConfigurationSync(currentConfiguration)
    private val membership = MembershipAgent(settings.description, settings.membership, random) { currentConfiguration.revision }
    private val catalogue = LimitCatalogue(settings.topology)
    private val storeCalls = PendingStoreCalls()
    private var knownHosts: List<KnownHost> = emptyList()
    private var addresses: Map<HostId, HostAddress> = settings.seedPeers
    private val loanEvents = ArrayList<LoanEvent>()

    /** This host's shares of all limits. */
    val ledger =
        ShareLedger(host, settings.ledgerSettings(), catalogue.limits(snapshot = null), onLoanEvent = { loanEvents += it })

    /** The configuration in force, or null before the first one was received. */
    val snapshot: ConfigurationSnapshot?
        get() = currentConfiguration.snapshot

    /** Names of the hosts, workers and upstreams that operators have requested to drain. */
    val drainRequests: Set<String>
        get() = membership.drainRequests

    val lifecycle: MembershipLifecycle
        get() = membership.lifecycle

    val incarnation
        get() = membership.self.incarnation

    /** The entry hosts known as of the last tick. */
    val hosts: List<KnownHost>
        get() = knownHosts

    fun standing(nowMs: Long): Standing = membership.standing(nowMs)

    fun isConfigurationFresh(nowMs: Long): Boolean = membership.isConfigurationFresh(nowMs)

    fun onTick(nowMs: Long): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        effects += membershipEffects(nowMs, membership.onTick(nowMs))
        effects += configurationEffects(nowMs, sync.onTick(nowMs))
        refreshHosts(nowMs)
        ledger.onStanding(nowMs, membership.standing(nowMs))
        effects += sendEffects(ledger.onTick(nowMs)) { PeerMessage.Ledger(it) }
        effects += takeLoanEvents()
        return effects
    }

    fun onStoreCallEnded(
        nowMs: Long,
        event: NodeEvent.StoreCallEnded,
    ): List<NodeEffect> {
        val sentAtMs = storeCalls.complete(event.callId) ?: return emptyList()
        return membershipEffects(nowMs, membership.onStoreReply(nowMs, sentAtMs, event.call, event.result))
    }

    fun onPeerMessage(
        nowMs: Long,
        envelope: PeerEnvelope,
    ): List<NodeEffect> {
        if (envelope.to != host) return emptyList()
        return when (val message = envelope.message) {
            is PeerMessage.Membership -> {
                membershipEffects(nowMs, membership.onMessage(nowMs, envelope.from, envelope.fromIncarnation, message.message))
            }

            is PeerMessage.Configuration -> {
                configurationEffects(nowMs, sync.onMessage(envelope.from, message.message))
            }

            is PeerMessage.Ledger -> {
                ledger.onStanding(nowMs, membership.standing(nowMs))
                val sends = ledger.onMessage(nowMs, envelope.from, envelope.fromIncarnation, message.message)
                sendEffects(sends) { PeerMessage.Ledger(it) }
            }
        }
    }

    fun onHostList(
        nowMs: Long,
        event: NodeEvent.HostListRead,
    ): List<NodeEffect> = membershipEffects(nowMs, membership.onHostList(nowMs, event.entries))

    /** Stops advertising this host in lookups. */
    fun leave(nowMs: Long): List<NodeEffect> = membershipEffects(nowMs, membership.leave(nowMs))

    /** Transfers all shares to other hosts and leaves the roster. [lifecycle] is `LEFT` when this is complete. */
    fun handOver(nowMs: Long): List<NodeEffect> {
        val ledgerEffects = sendEffects(ledger.prepareToLeave(nowMs)) { PeerMessage.Ledger(it) }
        return ledgerEffects + membershipEffects(nowMs, membership.onDrained(nowMs))
    }

    private fun membershipEffects(
        nowMs: Long,
        output: MembershipOutput,
    ): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        output.configurationChange?.let { effects += configurationEffects(nowMs, sync.onStoreValue(it.value, it.revision)) }
        output.peerRevisions.forEach { effects += configurationEffects(nowMs, sync.onPeerRevision(nowMs, it.host, it.revision)) }
        output.storeCalls.forEach { effects += storeCalls.start(nowMs, it) }
        effects += sendEffects(output.sends) { PeerMessage.Membership(it) }
        output.events.forEach { effects += logEntry(DecisionKind.MEMBERSHIP, it.message) }
        return effects
    }

    private fun configurationEffects(
        nowMs: Long,
        output: ConfigurationOutput,
    ): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        if (output.isChanged) {
            ledger.onLimits(nowMs, catalogue.limits(currentConfiguration.snapshot))
            effects += logEntry(DecisionKind.CONFIGURATION, "revision ${currentConfiguration.revision} is in force")
        }
        output.error?.let { effects += logEntry(DecisionKind.CONFIGURATION, it.message) }
        effects += sendEffects(output.sends) { PeerMessage.Configuration(it) }
        return effects
    }

    private fun takeLoanEvents(): List<NodeEffect> {
        val effects =
            loanEvents.map {
                logEntry(
                    DecisionKind.SHARE,
                    "${it.kind.wireName} ${it.units} units of ${it.limit}, peer ${it.peer}",
                )
            }
        loanEvents.clear()
        return effects
    }

    private fun refreshHosts(nowMs: Long) {
        val current = membership.knownHosts(nowMs)
        if (current === knownHosts) return
        knownHosts = current
        addresses = settings.seedPeers + knownHosts.associate { it.member.host to it.member.peerAddress }
    }

    private fun <M> sendEffects(
        sends: List<OutgoingMessage<M>>,
        wrap: (M) -> PeerMessage,
    ): List<NodeEffect> =
        sends.mapNotNull { send ->
            val address = addresses[send.to] ?: return@mapNotNull null
            NodeEffect.SendToPeer(address, PeerEnvelope(host, incarnation, send.to, wrap(send.message)))
        }

    private fun logEntry(
        kind: DecisionKind,
        reason: String,
    ) = NodeEffect.LogDecision(Decision(kind, reason))
}

/** Returns the ledger settings, with the longest time for which a request of any route may occupy a slot. */
private fun NodeSettings.ledgerSettings(): LedgerSettings {
    val longestDeadlineMs = topology.routes.maxOfOrNull { it.deadlineMs } ?: 0
    return ledger.copy(maxRequestDurationMs = longestDeadlineMs + request.slotReleaseMarginMs)
}
