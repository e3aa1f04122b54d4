package io.kumquatmill.bench.fleet

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.node.DefaultEntryNode
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.scenario.virtual.VirtualTime
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/** A fleet of composed entry nodes with a store and a network in virtual time, which counts what coordination costs. */
internal class ControlFleet(
    private val plan: FleetPlan,
    seed: Long = 1,
) {
    val time = VirtualTime()
    val traffic = Traffic()
    val store = FleetStore(time)
    private val random = Random(seed)
    private val hosts = plan.descriptions.map { FleetHost(it) }
    private val hostsByAddress = hosts.associateBy { it.description.peerAddress }

    /** Time that all hosts spent on ticks, in nanoseconds, since the last [reset]. */
    val tickNs: Long get() = hosts.sumOf { it.tickNs }

    /** Time that all hosts spent on messages and store replies, in nanoseconds, since the last [reset]. */
    val eventNs: Long get() = hosts.sumOf { it.eventNs }

    /** Number of hosts that have standing. */
    val standingHosts: Int get() = hosts.count { it.status().hasStanding }

    /** Lowest revision of the lists that a host has in force. */
    val lowestRevision: Long get() = hosts.minOf { it.status().configurationRevision }

    fun node(index: Int): EntryNode = hosts[index].node

    /** Starts all hosts within [START_SPREAD_MS] and lets them join. */
    fun start() {
        acceptLists()
        hosts.forEach { host -> time.after(random.nextLong(START_SPREAD_MS)) { host.start() } }
        time.every(LIST_INTERVAL_MS) {
            sendHostList()
            true
        }
        run(JOIN_MS)
    }

    /** Lets [durationMs] pass. */
    fun run(durationMs: Long) = time.runUntil(time.nowMs + durationMs)

    /** Forgets all counts. */
    fun reset() {
        traffic.reset()
        hosts.forEach { it.resetTimes() }
    }

    /** Replaces the process of host number [index] by a new one. */
    fun restart(index: Int) = hosts[index].start()

    /** Ends the process of host number [index]. */
    fun kill(index: Int) = hosts[index].kill()

    /** Has the store accept the lists anew, as after an edit. */
    fun acceptLists() {
        val text = encodeDocument(plan.lists().let { ConfigurationDocument(it.plans, it.customers) })
        store.execute(StoreCall.Read(ConfigurationDocument.KEY)) { read ->
            val revision = (read.getOrNull() as? StoreReply.Entry)?.entry?.revision ?: StoreCall.NO_REVISION
            store.execute(StoreCall.CompareAndSwap(ConfigurationDocument.KEY, revision, text)) {}
        }
    }

    private fun sendHostList() {
        val entries = hosts.filter { it.isRunning }.map { HostListEntry(it.description.host, HostListState.LIVE) }
        time.after(LIST_LAG_MS) { hosts.forEach { it.handle(NodeEvent.HostListRead(entries)) } }
    }

    private fun delayMs(
        from: RegionId,
        to: RegionId,
    ): Long = if (from == to) 1 else OTHER_REGION_MS + random.nextLong(JITTER_MS)

    private fun deliver(
        from: HostDescription,
        effect: NodeEffect.SendToPeer,
    ) {
        traffic.onMessage(effect.envelope)
        val target = hostsByAddress[effect.address] ?: return
        time.after(delayMs(from.region, target.description.region)) { target.handle(NodeEvent.PeerMessageReceived(effect.envelope)) }
    }

    private fun callStore(
        host: FleetHost,
        effect: NodeEffect.CallStore,
    ) {
        val ofLife = host.life
        val delayMs = delayMs(host.description.region, plan.storeRegion)
        time.after(delayMs) {
            traffic.onStoreCall(time.nowMs, effect.call)
            store.execute(effect.call) { result ->
                traffic.onStoreResult(result)
                time.after(delayMs) {
                    if (host.life == ofLife) host.handle(NodeEvent.StoreCallEnded(effect.callId, effect.call, result))
                }
            }
        }
    }

    private inner class FleetHost(
        val description: HostDescription,
    ) {
        var node: EntryNode = newNode()
            private set
        var life = 0
            private set
        var isRunning = false
            private set
        var tickNs = 0L
            private set
        var eventNs = 0L
            private set

        fun status() = node.status(time.nowMs)

        fun start() {
            kill()
            node = newNode()
            isRunning = true
            val ofLife = life
            time.every(NodeEvent.TICK_INTERVAL_MS, firstDelayMs = 0) {
                if (life == ofLife) handle(NodeEvent.Tick)
                life == ofLife
            }
        }

        fun kill() {
            life += 1
            isRunning = false
        }

        fun resetTimes() {
            tickNs = 0
            eventNs = 0
        }

        fun handle(event: NodeEvent) {
            if (!isRunning) return
            val startedNs = System.nanoTime()
            val effects = node.handle(time.nowMs, event)
            val spentNs = System.nanoTime() - startedNs
            if (event == NodeEvent.Tick) tickNs += spentNs else eventNs += spentNs
            effects.forEach(::carryOut)
        }

        private fun carryOut(effect: NodeEffect) {
            when (effect) {
                is NodeEffect.SendToPeer -> deliver(description, effect)
                is NodeEffect.CallStore -> callStore(this, effect)
                else -> Unit
            }
        }

        private fun newNode(): EntryNode = DefaultEntryNode(plan.settings(description), Random(random.nextLong()))
    }

    companion object {
        /** Time over which the hosts of a fleet start. */
        const val START_SPREAD_MS: Long = 5_000

        /** Time that a fleet is given to start and join. */
        const val JOIN_MS: Long = 25_000
        private const val LIST_INTERVAL_MS = 1_000L
        private const val LIST_LAG_MS = 8_000L
        private const val OTHER_REGION_MS = 17L
        private const val JITTER_MS = 5L
    }
}
