package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.FleetSpec
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
 * Measures the share ledgers of a fleet for several numbers of limits and hosts.
 *
 * Each limit is used at a third of its rate, through the three hosts that steering selects for it.
 */
internal class LedgerCost(
    private val limitCounts: List<Int> = Sizes.limitCounts,
    private val fleetSizes: List<Int> = Sizes.fleetSizes,
) {
    private val byLimits = collector("limits, 7 hosts", TODAY_LIMIT_COUNT, TODAY_LIMIT_COUNT)
    private val byLimitsInLargeFleet = collector("limits, 150 hosts", TODAY_LIMIT_COUNT, TARGET_LIMIT_COUNT_IN_LARGE_FLEET)
    private val byHosts = collector("hosts", Sizes.today.hosts, Sizes.target.hosts)

    fun measure(): List<Series> {
        measure(Sizes.today.hosts, LIMITS_IN_HOST_SERIES, 1, collector("warm-up", 1, 1))
        limitCounts.forEach { measure(Sizes.today.hosts, it, it, byLimits) }
        limitCounts.forEach { measure(LARGE_FLEET_HOSTS, it, it, byLimitsInLargeFleet) }
        fleetSizes.forEach { measure(it, LIMITS_IN_HOST_SERIES, it, byHosts) }
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
        destination: SeriesCollector,
    ) {
        val stateBytes = retainedBytes { LedgerFleet(hosts, limits).also { measure(it, size, destination) }.ledgers }
        destination.add("state of a limit", "bytes a host", size, stateBytes / hosts / limits)
    }

    private fun measure(
        fleet: LedgerFleet,
        size: Int,
        destination: SeriesCollector,
    ) {
        fleet.run()
        destination.add("messages", "1/s a host", size, fleet.messagesPerS)
        destination.add("peer bytes sent and received", "bytes/s a host", size, fleet.bytesPerS)
        destination.add("tick with its messages", "us", size, fleet.tickUs)
    }

    companion object {
        private const val LIMITS_IN_HOST_SERIES = 240

        /** Limits of a current deployment: workspaces, workers, links and traffic shifts. */
        const val TODAY_LIMIT_COUNT: Int = 8 + 40 + 6 + 6

        /** Size of the large fleet, which is measured with as many busy limits per host as the target fleet has. */
        const val LARGE_FLEET_HOSTS: Int = 150

        /** Number of limits that gives each of [LARGE_FLEET_HOSTS] hosts as many busy limits as 10,000 limits give each of 450 hosts. */
        const val TARGET_LIMIT_COUNT_IN_LARGE_FLEET: Int = 10_000 * 150 / 450
    }
}

/** Share ledgers of several hosts that tick simultaneously; each message arrives at the next tick. */
internal class LedgerFleet(
    private val hosts: Int,
    private val limits: Int,
) {
    private val random = Random(1)
    private val regions = if (hosts <= Sizes.today.hosts) Sizes.today.regions else Sizes.target.regions
    private val members = FleetSpec(hosts, regions).descriptions.map { it.member(Incarnation(1)) }
    private val specs = (1..limits).map { LimitSpec.Rate(LimitId("rate/workspace-$it"), RATE_PER_S, RATE_PER_S) }
    private val callerHostsByLimit = specs.associate { it.id to callerHostsOf(it.id) }
    private val traffic = Traffic()
    val ledgers = members.associate { it.host to ShareLedger(it.host, LedgerSettings(), specs) }
    private var inbox = emptyList<PeerEnvelope>()
    private var handlingNs = 0L

    val messagesPerS: Double get() = traffic.messages / hostSeconds
    val bytesPerS: Double get() = 2 * traffic.peerBytes / hostSeconds
    val tickUs: Double get() = handlingNs / NS_PER_US / (hosts * (MEASURED_MS / TICK_MS))
    private val hostSeconds: Double get() = hosts * MEASURED_MS / MS_PER_S

    /** Warms up, then measures for [MEASURED_MS] of virtual time. */
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
            generateLoad(nowMs)
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
            outbox += replies.map { it.toEnvelope(envelope.to) }
        }
        ledgers.forEach { (host, ledger) ->
            ledger.onStanding(nowMs, standing)
            outbox += ledger.onTick(nowMs).map { it.toEnvelope(host) }
        }
        return outbox
    }

    private fun generateLoad(nowMs: Long) =
        specs.forEach { spec ->
            val isRequested = random.nextDouble() < RATE_PER_S * LOAD_FRACTION * TICK_MS / MS_PER_S
            if (isRequested) ledgers.getValue(callerHostsByLimit.getValue(spec.id).random(random)).tryTake(nowMs, spec.id)
        }

    private fun callerHostsOf(limit: LimitId): List<HostId> =
        rendezvousOrder(limit.value, members) { it.host.value }.take(CALLER_HOSTS).map(Member::host)

    private fun OutgoingMessage<LedgerMessage>.toEnvelope(host: HostId) =
        PeerEnvelope(host, Incarnation(1), to, PeerMessage.Ledger(message))

    private companion object {
        const val RATE_PER_S = 50.0
        const val LOAD_FRACTION = 1.0 / 3
        const val CALLER_HOSTS = 3
        const val TICK_MS = 50L
        const val WARM_UP_MS = 10_000L
        const val MEASURED_MS = 10_000L
        const val STANDING_MS = 4_000L
        const val MS_PER_S = 1_000.0
        const val NS_PER_US = 1_000.0
    }
}
