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
import kotlin.random.Random

/** One entry host of a [FakeFleet]: membership and configuration, without requests. */
internal class FakeHost(
    private val fleet: FakeFleet,
    private val description: HostDescription,
) {
    private var life = 0
    private val clockOffsetMs = fleet.random.nextLong(MAX_CLOCK_OFFSET_MS)
    private val clockRate = 1 + (fleet.random.nextDouble() * 2 - 1) * fleet.options.clockDrift
    private val held = mutableListOf<() -> Unit>()
    var configuration = ConfigurationSync()
        private set
    var agent: MembershipAgent = newAgent()
        private set
    var isRunning = false
        private set
    var isFrozen = false
        private set

    /** Reading of this host's own clock. */
    val clockMs: Long
        get() = clockOffsetMs + (fleet.nowMs * clockRate).toLong()

    val id: HostId
        get() = description.host

    val region: RegionId
        get() = description.region

    val isMember: Boolean
        get() = isRunning && agent.lifecycle == MembershipLifecycle.MEMBER

    val hasStanding: Boolean
        get() = isRunning && agent.standing(clockMs).isValid(clockMs)

    val isFresh: Boolean
        get() = isRunning && agent.configurationIsFresh(clockMs)

    /** Epoch and phase under which this host may spend now, or null if it may not. */
    val standingUnder: Pair<Long, RosterPhase>?
        get() =
            agent
                .standing(clockMs)
                .takeIf { isRunning && it.isValid(clockMs) }
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

    fun leave() = carryOut(agent.leave(clockMs))

    fun drained() = carryOut(agent.drained(clockMs))

    fun onHostList(entries: List<HostListEntry>) = atProcess(life) { carryOut(agent.onHostList(clockMs, entries)) }

    private fun newAgent() =
        MembershipAgent(description, fleet.settings, Random(fleet.random.nextLong()), fleet.options.newMemory()) {
            configuration.register.revision
        }

    private fun tick(ofLife: Int) {
        atProcess(ofLife) { if (life == ofLife) onTick() }
        if (life == ofLife) fleet.schedule(TICK_MS) { tick(ofLife) }
    }

    private fun onTick() {
        if (agent.lifecycle == MembershipLifecycle.LEFT) kill()
        carryOut(agent.onTick(clockMs))
        carryOut(configuration.onTick(clockMs))
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
        output.peerRevisions.forEach { carryOut(configuration.onPeerRevision(clockMs, it.host, it.revision)) }
        output.storeCalls.forEach { call ->
            val sentAtMs = clockMs
            val ofLife = life
            fleet.callStore(this, call) { result ->
                atProcess(ofLife) { carryOut(agent.onStoreReply(clockMs, sentAtMs, call, result)) }
            }
        }
        output.sends.forEach { send(it.to, it.message) }
    }

    private fun send(
        to: HostId,
        message: MembershipMessage,
    ) {
        val incarnation = agent.self.incarnation
        if (fleet.options.countsTraffic) fleet.counts.onMessage(id, to, message)
        if (fleet.faults.passes(id, to, message)) fleet.send(this, to) { it.receive(id, incarnation, message) }
    }

    private fun receive(
        from: HostId,
        incarnation: Incarnation,
        message: MembershipMessage,
    ) = atProcess(life) { carryOut(agent.onMessage(clockMs, from, incarnation, message)) }

    private fun carryOut(output: ConfigurationOutput) {
        output.sends.forEach { send ->
            fleet.send(this, send.to) { it.receive(id, send.message) }
        }
    }

    private fun receive(
        from: HostId,
        message: ConfigurationMessage,
    ) = atProcess(life) { carryOut(configuration.onMessage(from, message)) }

    private companion object {
        const val TICK_MS = 50L
        const val MAX_CLOCK_OFFSET_MS = 1_000_000L
    }
}
