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

/** Entry host of a [FakeFleet] that runs membership and configuration sync but serves no requests. */
internal class FakeHost(
    private val fleet: FakeFleet,
    private val description: HostDescription,
) {
    private var processNumber = 0
    private val clockOffsetMs = fleet.random.nextLong(MAX_CLOCK_OFFSET_MS)
    private val clockRate = 1 + (fleet.random.nextDouble() * 2 - 1) * fleet.options.clockDrift
    private val deferredActions = mutableListOf<() -> Unit>()
    var configuration = ConfigurationSync()
        private set
    var agent: MembershipAgent = newAgent()
        private set
    var isRunning = false
        private set
    var isFrozen = false
        private set

    /** Current time of this host's own clock, which has an offset and drifts. */
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
        get() = isRunning && agent.isConfigurationFresh(clockMs)

    /** Epoch and phase of the roster under which this host has standing now, or null if it has none. */
    val standingEpochAndPhase: Pair<Long, RosterPhase>?
        get() =
            agent
                .standing(clockMs)
                .takeIf { isRunning && it.isValid(clockMs) }
                ?.roster
                ?.let { it.epoch to it.phase }

    /** Starts a new process on this host. */
    fun start() {
        processNumber++
        isRunning = true
        isFrozen = false
        deferredActions.clear()
        configuration = ConfigurationSync()
        agent = newAgent()
        tick(processNumber)
    }

    fun kill() {
        processNumber++
        isRunning = false
    }

    /** Pauses the process; replies and messages that arrive meanwhile are deferred until [unfreeze]. */
    fun freeze() {
        isFrozen = true
    }

    fun unfreeze() {
        isFrozen = false
        deferredActions.toList().also { deferredActions.clear() }.forEach { it() }
    }

    fun leave() = execute(agent.leave(clockMs))

    fun completeDrain() = execute(agent.onDrained(clockMs))

    fun onHostList(entries: List<HostListEntry>) = runInProcess(processNumber) { execute(agent.onHostList(clockMs, entries)) }

    private fun newAgent() =
        MembershipAgent(description, fleet.settings, Random(fleet.random.nextLong()), fleet.options.newEpochTracker()) {
            configuration.current.revision
        }

    private fun tick(ofProcess: Int) {
        runInProcess(ofProcess) { if (processNumber == ofProcess) onTick() }
        if (processNumber == ofProcess) fleet.schedule(TICK_MS) { tick(ofProcess) }
    }

    private fun onTick() {
        if (agent.lifecycle == MembershipLifecycle.LEFT) kill()
        execute(agent.onTick(clockMs))
        execute(configuration.onTick(clockMs))
    }

    /** Runs [action] in the process with number [ofProcess], after it is unfrozen if it is frozen, and never in a later process. */
    private fun runInProcess(
        ofProcess: Int,
        action: () -> Unit,
    ) {
        when {
            !isRunning || processNumber != ofProcess -> Unit
            isFrozen -> deferredActions += { runInProcess(ofProcess, action) }
            else -> action()
        }
    }

    private fun execute(output: MembershipOutput) {
        output.configurationChange?.let { execute(configuration.onStoreValue(it.value, it.revision)) }
        output.peerRevisions.forEach { execute(configuration.onPeerRevision(clockMs, it.host, it.revision)) }
        output.storeCalls.forEach { call ->
            val sentAtMs = clockMs
            val ofProcess = processNumber
            fleet.callStore(this, call) { result ->
                runInProcess(ofProcess) { execute(agent.onStoreReply(clockMs, sentAtMs, call, result)) }
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
        if (fleet.faults.deliversMessage(id, to, message)) fleet.send(this, to) { it.receive(id, incarnation, message) }
    }

    private fun receive(
        from: HostId,
        incarnation: Incarnation,
        message: MembershipMessage,
    ) = runInProcess(processNumber) { execute(agent.onMessage(clockMs, from, incarnation, message)) }

    private fun execute(output: ConfigurationOutput) {
        output.sends.forEach { send ->
            fleet.send(this, send.to) { it.receive(id, send.message) }
        }
    }

    private fun receive(
        from: HostId,
        message: ConfigurationMessage,
    ) = runInProcess(processNumber) { execute(configuration.onMessage(from, message)) }

    private companion object {
        const val TICK_MS = 50L
        const val MAX_CLOCK_OFFSET_MS = 1_000_000L
    }
}
