package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import java.util.PriorityQueue
import kotlin.random.Random

/** Delays and faults of the network between the ledgers of a [FakeFleet]. */
internal data class FakeNetwork(
    val minDelayMs: Long = 1,
    val maxDelayMs: Long = 40,
    val lossProbability: Double = 0.0,
    val duplicateProbability: Double = 0.0,
    /** Probability that a message takes up to ten times as long. */
    val stragglerProbability: Double = 0.0,
)

/** A process of an entry host, with its own clock. */
internal class FakeHost(
    var member: Member,
    val ledger: ShareLedger,
    private val clockOffsetMs: Long,
    private val clockSpeed: Double,
) {
    var pausedUntilMs = 0L
    var isAlive = true
    var isPartitioned = false

    /** Deliveries that arrived while the process was paused. */
    val queuedDeliveries = mutableListOf<() -> Unit>()
    val id: HostId get() = member.host

    fun localMs(nowMs: Long): Long = clockOffsetMs + (nowMs * clockSpeed).toLong()

    fun isPaused(nowMs: Long) = nowMs < pausedUntilMs
}

/** Ledgers of several hosts on a virtual clock, connected by a seeded network. */
internal class FakeFleet(
    members: List<Member>,
    var specs: List<LimitSpec>,
    private val settings: LedgerSettings = LedgerSettings(jitterGuardMs = 0),
    seed: Int = 1,
    var network: FakeNetwork = FakeNetwork(),
    private val maxDrift: Double = 0.0,
    private val roster: FakeRoster = FakeRoster(members),
    private val safeguards: Safeguards = Safeguards(),
) {
    val random = Random(seed)
    val processes = mutableListOf<FakeHost>()
    val takes = mutableMapOf<LimitId, MutableList<Pair<Long, Long>>>()
    val inFlight = mutableMapOf<LimitId, Int>()
    val peakInFlight = mutableMapOf<LimitId, Int>()
    val peakUnits = mutableMapOf<LimitId, Long>()
    val evicted = mutableSetOf<HostId>()

    /** Returns whether to drop a message. */
    var dropIf: (LedgerMessage) -> Boolean = { false }

    /** Returns the additional delay of a message in ms. */
    var extraDelayMs: (LedgerMessage) -> Long = { 0 }

    /** Whether the schedule still generates load and injects faults. */
    var faultsEnabled = true
    var nowMs = 0L
        private set
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.sequence })
    private var sequence = 0L

    init {
        members.forEach { start(it) }
        every(ROSTER_UPDATE_INTERVAL_MS) { roster.advance(nowMs, wantedMembers()) }
        every(CHECK_INTERVAL_MS) { checkUnits() }
    }

    fun host(index: Int): FakeHost =
        processes.last {
            it.id ==
                io.kumquatmill.limits.ledger
                    .host(index)
        }

    fun at(
        atMs: Long,
        action: () -> Unit,
    ) {
        events += Event(atMs, sequence++, action)
    }

    fun every(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        at(nowMs + intervalMs) {
            action()
            every(intervalMs, action)
        }
    }

    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }

    fun pause(
        host: FakeHost,
        durationMs: Long,
    ) {
        host.pausedUntilMs = maxOf(host.pausedUntilMs, nowMs + durationMs)
        at(host.pausedUntilMs) { resume(host) }
    }

    /**
     * Replaces the process of [host] by one with a higher incarnation. If [isZombie], the old process keeps running until its
     * standing expires.
     */
    fun restart(
        host: FakeHost,
        isZombie: Boolean,
    ) {
        host.isAlive = isZombie
        start(host.member.copy(incarnation = nextIncarnation(host.member)))
    }

    fun updateLimits(
        specs: List<LimitSpec>,
        maxDelayMs: Long,
    ) {
        this.specs = specs
        processes.forEach { host ->
            at(nowMs + random.nextLong(maxDelayMs + 1)) { deliver(host) { host.ledger.onLimits(host.localMs(nowMs), this.specs) } }
        }
    }

    /** Tries to take one token at [host]. A slot is held for [holdMs]. Returns whether the token was taken. */
    fun attempt(
        host: FakeHost,
        limit: LimitId,
        holdMs: Long = 0,
    ): Boolean {
        if (!host.isAlive || host.isPaused(nowMs)) return false
        if (host.ledger.tryTake(host.localMs(nowMs), limit) != TakeResult.Taken) return false
        takes.getOrPut(limit) { mutableListOf() } += nowMs to 1L
        if (specs.any { it.id == limit && it is LimitSpec.Slots }) holdSlot(host, limit, holdMs)
        return true
    }

    fun count(limit: LimitId): Int = takes[limit].orEmpty().size

    fun units(
        host: FakeHost,
        limit: LimitId,
    ): Long = host.ledger.units(host.localMs(nowMs), limit)

    fun send(
        from: FakeHost,
        messages: List<OutgoingLedgerMessage>,
    ) = messages.forEach { message ->
        val copies = if (random.nextDouble() < network.duplicateProbability) 2 else 1
        repeat(copies) { transmit(from, message) }
    }

    private fun start(member: Member) {
        val host =
            FakeHost(
                member,
                ShareLedger(member.host, settings, specs, nowMs = 0, onLoanEvent = {}, safeguards),
                random.nextLong(1_000_000),
                clockSpeed(),
            )
        processes += host
        every(TICK_INTERVAL_MS) { deliver(host, queueIfPaused = false) { send(host, host.ledger.onTick(host.localMs(nowMs))) } }
        every(STANDING_REFRESH_INTERVAL_MS) { if (!host.isPaused(nowMs)) refreshStanding(host) }
        refreshStanding(host)
    }

    private fun clockSpeed() = 1.0 + (random.nextDouble() * 2 - 1) * maxDrift

    private fun refreshStanding(host: FakeHost) {
        if (host.isPartitioned || !host.isAlive) return
        val sentAtMs = host.localMs(nowMs)
        at(nowMs + delayMs()) {
            rejoin(host)
            val view = roster.view.takeIf { host.member in it.members }
            val standing = Standing(view, sentAtMs + FakeRoster.STANDING_DURATION_MS)
            at(nowMs + delayMs()) { deliver(host) { if (view != null) host.ledger.onStanding(host.localMs(nowMs), standing) } }
        }
    }

    /** Lets an evicted host rejoin under a new incarnation. */
    private fun rejoin(host: FakeHost) {
        val isEvicted = roster.view.members.none { it.host == host.id } && host.id in evicted
        if (!isEvicted || processes.last { it.id == host.id } !== host) return
        host.member = host.member.copy(incarnation = nextIncarnation(host.member))
        evicted -= host.id
    }

    private fun nextIncarnation(member: Member) = Incarnation(member.incarnation.value + 1)

    private fun wantedMembers(): List<Member> =
        processes
            .filter { it.isAlive && it.id !in evicted }
            .groupBy { it.id }
            .map { (_, incarnations) -> incarnations.last().member }

    private fun transmit(
        from: FakeHost,
        outgoing: OutgoingLedgerMessage,
    ) {
        if (dropIf(outgoing.message) || random.nextDouble() < network.lossProbability) return
        val incarnation = from.member.incarnation
        at(nowMs + delayMs() + extraDelayMs(outgoing.message)) {
            val to = processes.last { it.id == outgoing.to }
            if (to.isPartitioned || from.isPartitioned) return@at
            deliver(to) { send(to, to.ledger.onMessage(to.localMs(nowMs), from.id, incarnation, outgoing.message)) }
        }
    }

    private fun deliver(
        host: FakeHost,
        queueIfPaused: Boolean = true,
        action: () -> Unit,
    ) {
        when {
            !host.isAlive -> return
            !host.isPaused(nowMs) -> action()
            queueIfPaused -> host.queuedDeliveries += action
        }
    }

    private fun resume(host: FakeHost) {
        if (host.isPaused(nowMs)) return
        val queuedDeliveries = host.queuedDeliveries.toList()
        host.queuedDeliveries.clear()
        queuedDeliveries.shuffled(random).forEach { it() }
    }

    private fun delayMs(): Long {
        val delayMs = random.nextLong(network.minDelayMs, network.maxDelayMs + 1)
        return if (random.nextDouble() < network.stragglerProbability) delayMs * random.nextLong(1, 11) else delayMs
    }

    private fun holdSlot(
        host: FakeHost,
        limit: LimitId,
        holdMs: Long,
    ) {
        inFlight.merge(limit, 1, Int::plus)
        peakInFlight.merge(limit, inFlight.getValue(limit), ::maxOf)
        at(nowMs + holdMs) {
            inFlight.merge(limit, -1, Int::plus)
            deliver(host) { host.ledger.release(host.localMs(nowMs), limit) }
        }
    }

    private fun checkUnits() {
        val running = processes.filter { it.isAlive && !it.isPaused(nowMs) }
        specs.forEach { spec -> peakUnits.merge(spec.id, running.sumOf { units(it, spec.id) }, ::maxOf) }
    }

    private class Event(
        val atMs: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private companion object {
        const val TICK_INTERVAL_MS = 50L
        const val CHECK_INTERVAL_MS = 10L
        const val ROSTER_UPDATE_INTERVAL_MS = 500L
        const val STANDING_REFRESH_INTERVAL_MS = 700L
    }
}
