package io.kumquatmill.membership.fake

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.configuration.sync.ConfigurationMessage
import io.kumquatmill.configuration.sync.ConfigurationOutput
import io.kumquatmill.configuration.sync.ConfigurationSync
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipAgent
import io.kumquatmill.membership.MembershipLifecycle
import io.kumquatmill.membership.MembershipOutput
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.store.HostListEntry
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** One entry host of a [FakeFleet]: membership and configuration, without requests. */
internal class FakeHost(
    private val fleet: FakeFleet,
    private val description: HostDescription,
) {
    private var life = 0
    private val held = mutableListOf<() -> Unit>()
    var configuration = ConfigurationSync()
        private set
    var agent: MembershipAgent = newAgent()
        private set
    var isRunning = false
        private set
    var isFrozen = false
        private set

    val id: HostId
        get() = description.host

    val region: RegionId
        get() = description.region

    val isMember: Boolean
        get() = isRunning && agent.lifecycle == MembershipLifecycle.MEMBER

    val hasStanding: Boolean
        get() = isRunning && agent.standing(fleet.nowMs).isValid(fleet.nowMs)

    val isFresh: Boolean
        get() = isRunning && agent.configurationIsFresh(fleet.nowMs)

    /** Epoch and phase under which this host may spend now, or null if it may not. */
    val standingUnder: Pair<Long, RosterPhase>?
        get() =
            agent
                .standing(fleet.nowMs)
                .takeIf { isRunning && it.isValid(fleet.nowMs) }
                ?.roster
                ?.let { it.epoch to it.phase }

    /** Starts a new process on this host. */
    fun start() {
        life++
        isRunning = true
        isFrozen = false
        held.clear()
        configuration = ConfigurationSync()
        agent = newAgent()
        tick(life)
    }

    fun kill() {
        life++
        isRunning = false
    }

    /** Stops the process from doing anything; what arrives meanwhile waits. */
    fun freeze() {
        isFrozen = true
    }

    fun wake() {
        isFrozen = false
        held.toList().also { held.clear() }.forEach { it() }
    }

    fun leave() = carryOut(agent.leave(fleet.nowMs))

    fun drained() = carryOut(agent.drained(fleet.nowMs))

    fun onHostList(entries: List<HostListEntry>) = atProcess(life) { carryOut(agent.onHostList(fleet.nowMs, entries)) }

    private fun newAgent() =
        MembershipAgent(description, fleet.settings, Random(fleet.random.nextLong())) { configuration.register.revision }

    private fun tick(ofLife: Int) {
        atProcess(ofLife) { if (life == ofLife) onTick() }
        if (life == ofLife) fleet.schedule(TICK_MS) { tick(ofLife) }
    }

    private fun onTick() {
        if (agent.lifecycle == MembershipLifecycle.LEFT) kill()
        carryOut(agent.onTick(fleet.nowMs))
        carryOut(configuration.onTick(fleet.nowMs))
    }

    /** Runs [action] in the process of [ofLife], when it is not frozen, and never in a later one. */
    private fun atProcess(
        ofLife: Int,
        action: () -> Unit,
    ) {
        when {
            !isRunning || life != ofLife -> Unit
            isFrozen -> held += { atProcess(ofLife, action) }
            else -> action()
        }
    }

    private fun carryOut(output: MembershipOutput) {
        output.configurationChange?.let { carryOut(configuration.onStoreValue(it.value, it.revision)) }
        output.peerRevisions.forEach { carryOut(configuration.onPeerRevision(fleet.nowMs, it.host, it.revision)) }
        output.storeCalls.forEach { call ->
            val sentAtMs = fleet.nowMs
            val ofLife = life
            fleet.callStore(this, call) { result ->
                atProcess(ofLife) { carryOut(agent.onStoreReply(fleet.nowMs, sentAtMs, call, result)) }
            }
        }
        output.sends.forEach { send(it.to, it.message) }
    }

    private fun send(
        to: HostId,
        message: MembershipMessage,
    ) {
        val incarnation = agent.self.incarnation
        val sizeBytes = ENVELOPE_BYTES + Json.encodeToString(MembershipMessage.serializer(), message).length
        fleet.send(this, to, sizeBytes) { it.receive(id, incarnation, message) }
    }

    private fun receive(
        from: HostId,
        incarnation: Incarnation,
        message: MembershipMessage,
    ) = atProcess(life) { carryOut(agent.onMessage(fleet.nowMs, from, incarnation, message)) }

    private fun carryOut(output: ConfigurationOutput) {
        output.sends.forEach { send ->
            fleet.send(this, send.to, ENVELOPE_BYTES) { it.receive(id, send.message) }
        }
    }

    private fun receive(
        from: HostId,
        message: ConfigurationMessage,
    ) = atProcess(life) { carryOut(configuration.onMessage(from, message)) }

    private companion object {
        const val TICK_MS = 50L
        const val ENVELOPE_BYTES = 60
    }
}
