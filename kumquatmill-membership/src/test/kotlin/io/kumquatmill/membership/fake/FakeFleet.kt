package io.kumquatmill.membership.fake

import arrow.core.left
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.standing.EpochTracker
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import java.util.PriorityQueue
import kotlin.random.Random

internal val zapad = RegionId("zapad")
internal val stred = RegionId("stred")
internal val vychod = RegionId("vychod")

/** Entry hosts, store and network in virtual time; all randomness derives from [seed]. */
internal class FakeFleet(
    seed: Int,
    size: Int = 7,
    val settings: MembershipSettings = MembershipSettings(storeRegion = zapad, seedHosts = seedHosts(size)),
    val options: FleetOptions = FleetOptions(),
) {
    val random = Random(seed)
    val store = FakeStore()
    val faults = FleetFaults()
    val counts = TrafficCounts { nowMs }
    val hosts: List<FakeHost> = (0 until size).map { FakeHost(this, hostDescription(it)) }
    private val hostsById = hosts.associateBy { it.id }
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.atMs }, { it.order }))
    val invariants = FleetInvariants(this)
    private var order = 0L
    var nowMs = 0L
        private set

    init {
        every(HOST_LIST_INTERVAL_MS) { sendHostList() }
        every(STORE_TICK_MS) { store.takeUnless { faults.isStoreDown }?.onTick(nowMs) }
    }

    fun host(id: HostId): FakeHost = hostsById.getValue(id)

    /** Runs [action] after [delayMs]. */
    fun schedule(
        delayMs: Long,
        action: () -> Unit,
    ) {
        queue += Scheduled(nowMs + delayMs, order++, action)
    }

    /** Runs [action] every [intervalMs], first after [intervalMs]. */
    fun every(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        schedule(intervalMs) {
            action()
            every(intervalMs, action)
        }
    }

    /** Advances the virtual time by [durationMs] and runs all actions that become due. */
    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (queue.peek().atMs <= endMs) {
            val next = queue.poll()
            nowMs = next.atMs
            next.action()
            if (options.checksInvariants) invariants.check()
        }
        nowMs = endMs
    }

    /** Writes a new configuration to the store, as an operator would; returns whether the store is up to accept it. */
    fun acceptConfiguration(): Boolean {
        if (faults.isStoreDown) return false
        val expected = store.entry(ConfigurationDocument.KEY)?.revision ?: StoreCall.NO_REVISION
        store.execute(nowMs, StoreCall.CompareAndSwap(ConfigurationDocument.KEY, expected, encodeDocument(ConfigurationDocument()))) {}
        invariants.onConfigurationAccepted(store.revision)
        return true
    }

    /** Starts all hosts and waits until all are members. */
    fun start(): FakeFleet {
        acceptConfiguration()
        hosts.forEach { host -> schedule(random.nextLong(START_JITTER_PER_HOST_MS * hosts.size)) { host.start() } }
        run(STARTUP_MS)
        return this
    }

    /** Transfers [call] of [host] to the store and its reply back, subject to [faults]. */
    fun callStore(
        host: FakeHost,
        call: StoreCall,
        reply: (StoreResult) -> Unit,
    ) {
        counts.onStoreCall(call)
        val delayMs = latencyMs(host.region, settings.storeRegion) + faults.storeDelayMs
        if (!canReachStore(host)) {
            schedule(delayMs) { reply(StoreError.Unavailable("no connection").left()) }
        } else {
            schedule(delayMs) { executeAtStore(host, call, reply) }
        }
    }

    private fun executeAtStore(
        host: FakeHost,
        call: StoreCall,
        reply: (StoreResult) -> Unit,
    ) {
        if (!canReachStore(host)) return dropReply(reply)
        store.execute(nowMs, call) { result ->
            if (options.countsTraffic) counts.onStoreResult(result)
            val isLost = random.nextDouble() < faults.storeReplyLossRate || !canReachStore(host)
            if (isLost) dropReply(reply) else schedule(latencyMs(host.region, settings.storeRegion)) { reply(result) }
        }
    }

    private fun dropReply(reply: (StoreResult) -> Unit) = schedule(LOST_REPLY_TIMEOUT_MS) { reply(StoreError.Unknown("no reply").left()) }

    private fun canReachStore(host: FakeHost): Boolean =
        !faults.isStoreDown && host.id !in faults.hostsWithoutStore && !faults.isPartitioned(host.region, settings.storeRegion)

    /** Delivers a message from [from] to [to], subject to [faults]. */
    fun send(
        from: FakeHost,
        to: HostId,
        deliver: (FakeHost) -> Unit,
    ) {
        val target = hostsById[to] ?: return
        if (faults.isPartitioned(from.region, target.region) || random.nextDouble() < faults.messageLossRate) return
        schedule(latencyMs(from.region, target.region)) { deliver(target) }
        if (random.nextDouble() < faults.messageDuplicationRate) schedule(random.nextLong(MAX_REPEAT_DELAY_MS)) { deliver(target) }
    }

    private fun latencyMs(
        one: RegionId,
        other: RegionId,
    ): Long = if (one == other) 1 else CROSS_REGION_LATENCY_MS + random.nextLong(options.jitterMs + 1)

    private fun sendHostList() {
        val entries = hosts.filter { it.isRunning }.map { HostListEntry(it.id, HostListState.LIVE) }
        schedule(options.hostListLagMs) { hosts.forEach { it.onHostList(entries) } }
    }

    private fun hostDescription(index: Int): HostDescription {
        val region = listOf(zapad, stred, vychod)[index % 3]
        val ip = "10.0.${index / 200}.${index % 200}"
        return HostDescription(hostId(index), region, AvailabilityZoneId("$region-1"), HostAddress(ip, 8080), HostAddress(ip, 9090))
    }

    private companion object {
        const val MAX_REPEAT_DELAY_MS = 8_000L
        const val STORE_TICK_MS = 50L
        const val HOST_LIST_INTERVAL_MS = 1_000L
        const val CROSS_REGION_LATENCY_MS = 17L
        const val LOST_REPLY_TIMEOUT_MS = 1_000L
        const val START_JITTER_PER_HOST_MS = 15L
        const val STARTUP_MS = 15_000L
    }
}

/** Delays, clock drift and instrumentation of a [FakeFleet]. */
internal data class FleetOptions(
    val jitterMs: Long = 5,
    val hostListLagMs: Long = 8_000,
    val clockDrift: Double = 0.01,
    val checksInvariants: Boolean = true,
    val countsTraffic: Boolean = false,
    val newEpochTracker: () -> EpochTracker = ::EpochTracker,
)

internal fun hostId(index: Int) = HostId("entry-$index")

internal fun seedHosts(size: Int): Set<HostId> = (0 until minOf(size, 3)).mapTo(mutableSetOf(), ::hostId)

private class Scheduled(
    val atMs: Long,
    val order: Long,
    val action: () -> Unit,
)
