package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import java.util.PriorityQueue
import kotlin.random.Random

/** How the network between the ledgers of a [FakeFleet] behaves. */
internal data class FakeNetwork(
    val minDelayMs: Long = 1,
    val maxDelayMs: Long = 40,
    val lossPart: Double = 0.0,
    val duplicatePart: Double = 0.0,
    /** Part of the messages that take up to ten times as long. */
    val stragglerPart: Double = 0.0,
)

/** One process of an entry host, with a clock of its own. */
internal class FakeHost(
    var member: Member,
    val ledger: ShareLedger,
    private val clockOffsetMs: Long,
    private val clockSpeed: Double,
) {
    var frozenUntilMs = 0L
    var isAlive = true
    var isCutOff = false
    val held = mutableListOf<() -> Unit>()
    val id: HostId get() = member.host

    fun localMs(nowMs: Long): Long = clockOffsetMs + (nowMs * clockSpeed).toLong()

    fun isFrozen(nowMs: Long) = nowMs < frozenUntilMs
}

/** Ledgers of several hosts on a virtual clock, with a seeded network between them. */
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
    val worstInFlight = mutableMapOf<LimitId, Int>()
    val worstUnits = mutableMapOf<LimitId, Long>()
    val evicted = mutableSetOf<HostId>()

    /** Decides on each message whether it is lost on purpose. */
    var dropIf: (LedgerMessage) -> Boolean = { false }

    /** Extra delay of each message. */
    var extraDelayMs: (LedgerMessage) -> Long = { 0 }

    /** Whether a schedule still lets things fail. */
    var isFaulty = true
    var nowMs = 0L
        private set
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L

    init {
        members.forEach { start(it) }
        every(ROSTER_MS) { roster.advance(nowMs, wantedMembers()) }
        every(CHECK_MS) { checkUnits() }
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
        events += Event(atMs, order++, action)
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

    fun freeze(
        host: FakeHost,
        durationMs: Long,
    ) {
        host.frozenUntilMs = maxOf(host.frozenUntilMs, nowMs + durationMs)
        at(host.frozenUntilMs) { wake(host) }
    }

    /** Replaces the process of [host] by one of a higher incarnation; a zombie goes on until its standing lapses. */
    fun restart(
        host: FakeHost,
        isZombie: Boolean,
    ) {
        host.isAlive = isZombie
        start(host.member.copy(incarnation = nextIncarnation(host.member)))
    }

    fun edit(
        specs: List<LimitSpec>,
        maxDelayMs: Long,
    ) {
        this.specs = specs
        processes.forEach { host ->
            at(nowMs + random.nextLong(maxDelayMs + 1)) { deliver(host) { host.ledger.onLimits(host.localMs(nowMs), this.specs) } }
        }
    }

    /** One attempt on [host]; slots are held for [holdMs]. */
    fun attempt(
        host: FakeHost,
        limit: LimitId,
        holdMs: Long = 0,
    ): Boolean {
        if (!host.isAlive || host.isFrozen(nowMs)) return false
        if (host.ledger.tryTake(host.localMs(nowMs), limit) != TakeResult.Taken) return false
        takes.getOrPut(limit) { mutableListOf() } += nowMs to 1L
        if (specs.any { it.id == limit && it is LimitSpec.Slots }) hold(host, limit, holdMs)
        return true
    }

    fun count(limit: LimitId): Int = takes[limit].orEmpty().size

    fun units(
        host: FakeHost,
        limit: LimitId,
    ): Long = host.ledger.units(host.localMs(nowMs), limit)

    fun send(
        from: FakeHost,
        sends: List<LedgerSend>,
    ) = sends.forEach { send ->
        val copies = if (random.nextDouble() < network.duplicatePart) 2 else 1
        repeat(copies) { transmit(from, send) }
    }

    private fun start(member: Member) {
        val host =
            FakeHost(
                member,
                ShareLedger(member.host, settings, specs, nowMs = 0, onChange = {}, safeguards),
                random.nextLong(1_000_000),
                clockSpeed(),
            )
        processes += host
        every(TICK_MS) { deliver(host, isKept = false) { send(host, host.ledger.onTick(host.localMs(nowMs))) } }
        every(STANDING_REFRESH_MS) { if (!host.isFrozen(nowMs)) refreshStanding(host) }
        refreshStanding(host)
    }

    private fun clockSpeed() = 1.0 + (random.nextDouble() * 2 - 1) * maxDrift

    private fun refreshStanding(host: FakeHost) {
        if (host.isCutOff || !host.isAlive) return
        val sentAtMs = host.localMs(nowMs)
        at(nowMs + delayMs()) {
            rejoin(host)
            val view = roster.view.takeIf { host.member in it.members }
            val standing = Standing(view, sentAtMs + FakeRoster.STANDING_MS)
            at(nowMs + delayMs()) { deliver(host) { if (view != null) host.ledger.onStanding(host.localMs(nowMs), standing) } }
        }
    }

    /** A host that was evicted comes back under a new incarnation. */
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
            .map { (_, lives) -> lives.last().member }

    private fun transmit(
        from: FakeHost,
        send: LedgerSend,
    ) {
        if (dropIf(send.message) || random.nextDouble() < network.lossPart) return
        val incarnation = from.member.incarnation
        at(nowMs + delayMs() + extraDelayMs(send.message)) {
            val to = processes.last { it.id == send.to }
            if (to.isCutOff || from.isCutOff) return@at
            deliver(to) { send(to, to.ledger.onMessage(to.localMs(nowMs), from.id, incarnation, send.message)) }
        }
    }

    private fun deliver(
        host: FakeHost,
        isKept: Boolean = true,
        action: () -> Unit,
    ) {
        when {
            !host.isAlive -> return
            !host.isFrozen(nowMs) -> action()
            isKept -> host.held += action
        }
    }

    private fun wake(host: FakeHost) {
        if (host.isFrozen(nowMs)) return
        val held = host.held.toList()
        host.held.clear()
        held.shuffled(random).forEach { it() }
    }

    private fun delayMs(): Long {
        val delayMs = random.nextLong(network.minDelayMs, network.maxDelayMs + 1)
        return if (random.nextDouble() < network.stragglerPart) delayMs * random.nextLong(1, 11) else delayMs
    }

    private fun hold(
        host: FakeHost,
        limit: LimitId,
        holdMs: Long,
    ) {
        inFlight.merge(limit, 1, Int::plus)
        worstInFlight.merge(limit, inFlight.getValue(limit), ::maxOf)
        at(nowMs + holdMs) {
            inFlight.merge(limit, -1, Int::plus)
            deliver(host) { host.ledger.release(host.localMs(nowMs), limit) }
        }
    }

    private fun checkUnits() {
        val running = processes.filter { it.isAlive && !it.isFrozen(nowMs) }
        specs.forEach { spec -> worstUnits.merge(spec.id, running.sumOf { units(it, spec.id) }, ::maxOf) }
    }

    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        const val TICK_MS = 50L
        const val CHECK_MS = 10L
        const val ROSTER_MS = 500L
        const val STANDING_REFRESH_MS = 700L
    }
}
