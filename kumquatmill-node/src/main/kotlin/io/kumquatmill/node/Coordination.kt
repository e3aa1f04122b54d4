package io.kumquatmill.node

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.PeerSend
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

/** What this host agrees on with the others: membership, configuration and the share ledger. */
internal class Coordination(
    private val settings: NodeSettings,
    random: Random,
) {
    private val host = settings.description.host
    private val register = CurrentConfiguration()
    private val sync = ConfigurationSync(register)
    private val membership = MembershipAgent(settings.description, settings.membership, random) { register.revision }
    private val catalogue = LimitCatalogue(settings.topology)
    private val storeCalls = StoreCalls()
    private var knownHosts: List<KnownHost> = emptyList()
    private var addresses: Map<HostId, HostAddress> = settings.seedPeers
    private val shareChanges = ArrayList<LoanEvent>()

    /** This host's part of all limits. */
    val ledger =
        ShareLedger(host, settings.ledgerForRequests(), catalogue.limits(snapshot = null), onLoanEvent = { shareChanges += it })

    /** The operators' lists in force. */
    val snapshot: ConfigurationSnapshot?
        get() = register.snapshot

    /** Names of what operators want drained. */
    val drainRequests: Set<String>
        get() = membership.drainRequests

    val lifecycle: MembershipLifecycle
        get() = membership.lifecycle

    val incarnation
        get() = membership.self.incarnation

    /** The entry hosts that were known at the last tick. */
    val hosts: List<KnownHost>
        get() = knownHosts

    fun standing(nowMs: Long): Standing = membership.standing(nowMs)

    fun isConfigurationFresh(nowMs: Long): Boolean = membership.isConfigurationFresh(nowMs)

    fun tick(nowMs: Long): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        effects += carryOut(nowMs, membership.onTick(nowMs))
        effects += configurationEffects(nowMs, sync.onTick(nowMs))
        refreshHosts(nowMs)
        ledger.onStanding(nowMs, membership.standing(nowMs))
        effects += sendAll(ledger.onTick(nowMs)) { PeerMessage.Ledger(it) }
        effects += takeShareChanges()
        return effects
    }

    fun onStoreCallEnded(
        nowMs: Long,
        event: NodeEvent.StoreCallEnded,
    ): List<NodeEffect> {
        val sentAtMs = storeCalls.end(event.callId) ?: return emptyList()
        return carryOut(nowMs, membership.onStoreReply(nowMs, sentAtMs, event.call, event.result))
    }

    fun onPeerMessage(
        nowMs: Long,
        envelope: PeerEnvelope,
    ): List<NodeEffect> {
        if (envelope.to != host) return emptyList()
        return when (val message = envelope.message) {
            is PeerMessage.Membership -> {
                carryOut(nowMs, membership.onMessage(nowMs, envelope.from, envelope.fromIncarnation, message.message))
            }

            is PeerMessage.Configuration -> {
                configurationEffects(nowMs, sync.onMessage(envelope.from, message.message))
            }

            is PeerMessage.Ledger -> {
                ledger.onStanding(nowMs, membership.standing(nowMs))
                val sends = ledger.onMessage(nowMs, envelope.from, envelope.fromIncarnation, message.message)
                sendAll(sends) { PeerMessage.Ledger(it) }
            }
        }
    }

    fun onHostList(
        nowMs: Long,
        event: NodeEvent.HostListRead,
    ): List<NodeEffect> = carryOut(nowMs, membership.onHostList(nowMs, event.entries))

    /** Takes this host out of the look-ups. */
    fun leave(nowMs: Long): List<NodeEffect> = carryOut(nowMs, membership.leave(nowMs))

    /** Gives all shares to others and leaves the roster; [lifecycle] tells when that is done. */
    fun depart(nowMs: Long): List<NodeEffect> {
        val handedOver = sendAll(ledger.prepareToLeave(nowMs)) { PeerMessage.Ledger(it) }
        return handedOver + carryOut(nowMs, membership.onDrained(nowMs))
    }

    private fun carryOut(
        nowMs: Long,
        output: MembershipOutput,
    ): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        output.configurationChange?.let { effects += configurationEffects(nowMs, sync.onStoreValue(it.value, it.revision)) }
        output.peerRevisions.forEach { effects += configurationEffects(nowMs, sync.onPeerRevision(nowMs, it.host, it.revision)) }
        output.storeCalls.forEach { effects += storeCalls.send(nowMs, it) }
        effects += sendAll(output.sends) { PeerMessage.Membership(it) }
        output.events.forEach { effects += log(DecisionKind.MEMBERSHIP, it.message) }
        return effects
    }

    private fun configurationEffects(
        nowMs: Long,
        output: ConfigurationOutput,
    ): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        if (output.isChanged) {
            ledger.onLimits(nowMs, catalogue.limits(register.snapshot))
            effects += log(DecisionKind.CONFIGURATION, "revision ${register.revision} is in force")
        }
        output.error?.let { effects += log(DecisionKind.CONFIGURATION, it.message) }
        effects += sendAll(output.sends) { PeerMessage.Configuration(it) }
        return effects
    }

    private fun takeShareChanges(): List<NodeEffect> {
        val lines = shareChanges.map { log(DecisionKind.SHARE, "${it.kind.wireName} ${it.units} units of ${it.limit}, peer ${it.peer}") }
        shareChanges.clear()
        return lines
    }

    private fun refreshHosts(nowMs: Long) {
        val current = membership.knownHosts(nowMs)
        if (current === knownHosts) return
        knownHosts = current
        addresses = settings.seedPeers + knownHosts.associate { it.member.host to it.member.peerAddress }
    }

    private fun <M> sendAll(
        sends: List<PeerSend<M>>,
        wrap: (M) -> PeerMessage,
    ): List<NodeEffect> =
        sends.mapNotNull { send ->
            val address = addresses[send.to] ?: return@mapNotNull null
            NodeEffect.SendToPeer(address, PeerEnvelope(host, incarnation, send.to, wrap(send.message)))
        }

    private fun log(
        kind: DecisionKind,
        reason: String,
    ) = NodeEffect.LogDecision(Decision(kind, reason))
}

/** Returns the ledger's settings with the longest time that a request of any route may hold a slot. */
private fun NodeSettings.ledgerForRequests(): LedgerSettings {
    val longestDeadlineMs = topology.routes.maxOfOrNull { it.deadlineMs } ?: 0
    return ledger.copy(maxRequestDurationMs = longestDeadlineMs + request.slotHoldMarginMs)
}
