package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.FleetPlan
import io.kumquatmill.bench.fleet.Traffic
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.limits.ledger.LedgerMessage
import io.kumquatmill.limits.ledger.LedgerSettings
import io.kumquatmill.limits.ledger.LimitId
import io.kumquatmill.limits.ledger.LimitSpec
import io.kumquatmill.limits.ledger.ShareLedger
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.node.message.PeerMessage
import kotlin.random.Random

/**
 * Measures the share ledgers of a fleet, at several numbers of limits and of hosts.
 *
 * Each busy limit has callers at the three hosts that steering chooses, at a third of its rate.
 */
internal class LedgerCost(
    private val limitCounts: List<Int> = Sizes.limitCounts,
    private val fleetSizes: List<Int> = Sizes.fleetSizes,
) {
    private val byLimits = collector("limits, 7 hosts", TODAY_LIMITS, TODAY_LIMITS)
    private val byLimitsInLargeFleet = collector("limits, 150 hosts", TODAY_LIMITS, TARGET_LIMITS_IN_LARGE_FLEET)
    private val byHosts = collector("hosts", Sizes.today.hosts, Sizes.target.hosts)

    fun measure(): List<Series> {
        measure(Sizes.today.hosts, LIMITS_BY_HOSTS, 1, collector("warm-up", 1, 1))
        limitCounts.forEach { measure(Sizes.today.hosts, it, it, byLimits) }
        limitCounts.forEach { measure(LARGE_FLEET, it, it, byLimitsInLargeFleet) }
        fleetSizes.forEach { measure(it, LIMITS_BY_HOSTS, it, byHosts) }
        return byLimits.series() + byLimitsInLargeFleet.series() + byHosts.series()
    }

    private fun collector(
        dimension: String,
        today: Int,
        target: Int,
    ) = SeriesCollector("share ledger", dimension, today.toDouble(), target.toDouble())

    private fun measure(
        hosts: Int,
        limits: Int,
        size: Int,
        into: SeriesCollector,
    ) {
        val stateBytes = retainedBytes { LedgerFleet(hosts, limits).also { measure(it, size, into) }.ledgers }
        into.add("state of a limit", "bytes a host", size, stateBytes / hosts / limits)
    }

    private fun measure(
        fleet: LedgerFleet,
        size: Int,
        into: SeriesCollector,
    ) {
        fleet.run()
        into.add("messages", "1/s a host", size, fleet.messagesPerS)
        into.add("peer bytes sent and received", "bytes/s a host", size, fleet.bytesPerS)
        into.add("tick with its messages", "us", size, fleet.tickUs)
    }

    companion object {
        private const val LIMITS_BY_HOSTS = 240

        /** Limits of a deployment of today: workspaces, workers, links and shifts. */
        const val TODAY_LIMITS: Int = 8 + 40 + 6 + 6

        /** Hosts of the fleet in which a host has as many busy limits as one of the target. */
        const val LARGE_FLEET: Int = 150

        /** Busy limits with which each of [LARGE_FLEET] hosts has as many as each of 450 hosts at the target. */
        const val TARGET_LIMITS_IN_LARGE_FLEET: Int = 10_000 * 150 / 450
    }
}

/** Ledgers of several hosts that are ticked together; messages arrive at the next tick. */
internal class LedgerFleet(
    private val hosts: Int,
    private val limits: Int,
) {
    private val random = Random(1)
    private val regions = if (hosts <= Sizes.today.hosts) Sizes.today.regions else Sizes.target.regions
    private val members = FleetPlan(hosts, regions).descriptions.map { it.member(Incarnation(1)) }
    private val specs = (1..limits).map { LimitSpec.Rate(LimitId("rate/workspace-$it"), RATE_PER_S, RATE_PER_S) }
    private val callersOf = specs.associate { it.id to callers(it.id) }
    private val traffic = Traffic()
    val ledgers = members.associate { it.host to ShareLedger(it.host, LedgerSettings(), specs) }
    private var inbox = emptyList<PeerEnvelope>()
    private var handlingNs = 0L

    val messagesPerS: Double get() = traffic.messages / hostSeconds
    val bytesPerS: Double get() = 2 * traffic.peerBytes / hostSeconds
    val tickUs: Double get() = handlingNs / NS_PER_US / (hosts * (MEASURED_MS / TICK_MS))
    private val hostSeconds: Double get() = hosts * MEASURED_MS / MS_PER_S

    /** Warms up, then measures for ten seconds of virtual time. */
    fun run() {
        run(0, WARM_UP_MS)
        traffic.reset()
        handlingNs = 0
        run(WARM_UP_MS, WARM_UP_MS + MEASURED_MS)
    }

    private fun run(
        fromMs: Long,
        untilMs: Long,
    ) {
        for (nowMs in fromMs until untilMs step TICK_MS) {
            load(nowMs)
            val startedNs = System.nanoTime()
            val outbox = step(nowMs)
            handlingNs += System.nanoTime() - startedNs
            outbox.forEach(traffic::onMessage)
            inbox = outbox
        }
    }

    private fun step(nowMs: Long): List<PeerEnvelope> {
        val outbox = ArrayList<PeerEnvelope>()
        val standing = Standing(RosterView(1, RosterPhase.SETTLED, members, emptyList()), nowMs + STANDING_MS)
        inbox.forEach { envelope ->
            val message = (envelope.message as PeerMessage.Ledger).message
            val replies = ledgers.getValue(envelope.to).onMessage(nowMs, envelope.from, envelope.fromIncarnation, message)
            outbox += replies.map { it.from(envelope.to) }
        }
        ledgers.forEach { (host, ledger) ->
            ledger.onStanding(nowMs, standing)
            outbox += ledger.onTick(nowMs).map { it.from(host) }
        }
        return outbox
    }

    private fun load(nowMs: Long) =
        specs.forEach { spec ->
            val isCalled = random.nextDouble() < RATE_PER_S * LOAD_PART * TICK_MS / MS_PER_S
            if (isCalled) ledgers.getValue(callersOf.getValue(spec.id).random(random)).tryTake(nowMs, spec.id)
        }

    private fun callers(limit: LimitId): List<HostId> =
        rendezvousOrder(limit.value, members) { it.host.value }.take(CALLER_HOSTS).map(Member::host)

    private fun OutgoingMessage<LedgerMessage>.from(host: HostId) = PeerEnvelope(host, Incarnation(1), to, PeerMessage.Ledger(message))

    private companion object {
        const val RATE_PER_S = 50.0
        const val LOAD_PART = 1.0 / 3
        const val CALLER_HOSTS = 3
        const val TICK_MS = 50L
        const val WARM_UP_MS = 10_000L
        const val MEASURED_MS = 10_000L
        const val STANDING_MS = 4_000L
        const val MS_PER_S = 1_000.0
        const val NS_PER_US = 1_000.0
    }
}
