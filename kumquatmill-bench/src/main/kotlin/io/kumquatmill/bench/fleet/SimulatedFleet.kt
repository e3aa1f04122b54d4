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

/** A fleet of entry nodes with a store and a network in virtual time, which measures the cost of coordination. */
internal class SimulatedFleet(
    private val spec: FleetSpec,
    seed: Long = 1,
) {
    val time = VirtualTime()
    val traffic = Traffic()
    val store = FleetStore(time)
    private val random = Random(seed)
    private val hosts = spec.descriptions.map { FleetHost(it) }
    private val hostsByAddress = hosts.associateBy { it.description.peerAddress }

    /** Time that all hosts spent in ticks, in nanoseconds, since the last [reset]. */
    val tickNs: Long get() = hosts.sumOf { it.tickNs }

    /** Time that all hosts spent on messages and store replies, in nanoseconds, since the last [reset]. */
    val eventNs: Long get() = hosts.sumOf { it.eventNs }

    /** Number of hosts that have standing. */
    val standingHosts: Int get() = hosts.count { it.status().hasStanding }

    /** Lowest configuration revision that is in force on any host. */
    val lowestRevision: Long get() = hosts.minOf { it.status().configurationRevision }

    fun node(index: Int): EntryNode = hosts[index].node

    /** Starts all hosts within [START_SPREAD_MS] and runs for [JOIN_MS], in which they join. */
    fun start() {
        writeConfiguration()
        hosts.forEach { host -> time.after(random.nextLong(START_SPREAD_MS)) { host.start() } }
        time.every(HOST_LIST_INTERVAL_MS) {
            sendHostList()
            true
        }
        run(JOIN_MS)
    }

    /** Advances virtual time by [durationMs]. */
    fun run(durationMs: Long) = time.runUntil(time.nowMs + durationMs)

    /** Resets all counters and timings. */
    fun reset() {
        traffic.reset()
        hosts.forEach { it.resetTimings() }
    }

    /** Replaces the process of the host at [index] by a new one. */
    fun restart(index: Int) = hosts[index].start()

    /** Ends the process of the host at [index] without a planned stop. */
    fun kill(index: Int) = hosts[index].kill()

    /** Writes the configuration to the store under a new revision, as an edit does. */
    fun writeConfiguration() {
        val text = encodeDocument(spec.operatorConfiguration().let { ConfigurationDocument(it.plans, it.customers) })
        store.execute(StoreCall.Read(ConfigurationDocument.KEY)) { read ->
            val revision = (read.getOrNull() as? StoreReply.Entry)?.entry?.revision ?: StoreCall.NO_REVISION
            store.execute(StoreCall.CompareAndSwap(ConfigurationDocument.KEY, revision, text)) {}
        }
    }

    private fun sendHostList() {
        val entries = hosts.filter { it.isRunning }.map { HostListEntry(it.description.host, HostListState.LIVE) }
        time.after(HOST_LIST_LAG_MS) { hosts.forEach { it.handle(NodeEvent.HostListRead(entries)) } }
    }

    private fun delayMs(
        from: RegionId,
        to: RegionId,
    ): Long = if (from == to) 1 else CROSS_REGION_DELAY_MS + random.nextLong(JITTER_MS)

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
        val callerGeneration = host.generation
        val delayMs = delayMs(host.description.region, spec.storeRegion)
        time.after(delayMs) {
            traffic.onStoreCall(time.nowMs, effect.call)
            store.execute(effect.call) { result ->
                traffic.onStoreResult(result)
                time.after(delayMs) {
                    if (host.generation == callerGeneration) host.handle(NodeEvent.StoreCallEnded(effect.callId, effect.call, result))
                }
            }
        }
    }

    private inner class FleetHost(
        val description: HostDescription,
    ) {
        var node: EntryNode = newNode()
            private set
        var generation = 0
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
            val startedGeneration = generation
            time.every(NodeEvent.TICK_INTERVAL_MS, firstDelayMs = 0) {
                if (generation == startedGeneration) handle(NodeEvent.Tick)
                generation == startedGeneration
            }
        }

        fun kill() {
            generation += 1
            isRunning = false
        }

        fun resetTimings() {
            tickNs = 0
            eventNs = 0
        }

        fun handle(event: NodeEvent) {
            if (!isRunning) return
            val startedNs = System.nanoTime()
            val effects = node.handle(time.nowMs, event)
            val elapsedNs = System.nanoTime() - startedNs
            if (event == NodeEvent.Tick) tickNs += elapsedNs else eventNs += elapsedNs
            effects.forEach(::execute)
        }

        private fun execute(effect: NodeEffect) {
            when (effect) {
                is NodeEffect.SendToPeer -> deliver(description, effect)
                is NodeEffect.CallStore -> callStore(this, effect)
                else -> Unit
            }
        }

        private fun newNode(): EntryNode = DefaultEntryNode(spec.settings(description), Random(random.nextLong()))
    }

    companion object {
        /** Interval in which the hosts start, each at a random time. */
        const val START_SPREAD_MS: Long = 5_000

        /** Time for all hosts to start and join. */
        const val JOIN_MS: Long = 25_000
        private const val HOST_LIST_INTERVAL_MS = 1_000L
        private const val HOST_LIST_LAG_MS = 8_000L
        private const val CROSS_REGION_DELAY_MS = 17L
        private const val JITTER_MS = 5L
    }
}
