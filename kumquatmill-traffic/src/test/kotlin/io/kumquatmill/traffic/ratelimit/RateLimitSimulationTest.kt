package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import io.kumquatmill.traffic.workspace
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Checks that a workspace never exceeds its rate limit in any window under random faults: hosts are partitioned, killed, stalled or
 * added while callers offer up to several times the rate. `-Dkumquatmill.seed=N` sets another first seed.
 */
class RateLimitSimulationTest {
    private val alpha = WorkspaceId("alpha")

    private class Host(
        val record: EntryHostInfo,
        nowMs: Long,
        val incarnation: Long,
        records: List<EntryHostInfo>,
        sendLoanRequest: (LoanRequest) -> Unit,
    ) {
        val fleet = FleetView(record, minFleetSize = MIN_FLEET_SIZE).apply { updateHosts(nowMs, records) }
        val rateLimiter =
            WorkspaceRateLimiter(fleet, sendLoanRequest = sendLoanRequest).apply {
                update(nowMs, listOf(workspace(ratePerS = RATE_PER_S, burst = BURST)))
            }
        var sequence = 0L
        var partitionedUntilMs = 0L
        var stalledUntilMs = 0L
        var downUntilMs = 0L
        var offeredPerS = 0.0
    }

    private inner class Simulation(
        seed: Long,
    ) {
        private val random = Random(seed)
        private var nowMs = 0L
        private var brokenLink = emptySet<String>()
        private var linkBrokenUntilMs = 0L
        private val deliveries = HashMap<Long, ArrayList<() -> Unit>>()
        private val hosts = (1..HOSTS).mapTo(ArrayList()) { Host(host("h$it"), 0, 1, records(HOSTS), ::lend) }
        private val grantedAtMs = ArrayList<Long>()

        private fun records(count: Int) = (1..count).map { host("h$it") }

        fun run(): List<Long> {
            for (now in 0L until DURATION_MS) {
                nowMs = now
                deliveries.remove(now)?.forEach { it() }
                if (nowMs % FAULT_INTERVAL_MS == 0L) injectFault(nowMs)
                if (nowMs % REPORT_INTERVAL_MS == 0L) hosts.filter { it.isUp(nowMs) }.forEach { sendReport(nowMs, it) }
                hosts.filter { it.isUp(nowMs) }.forEach { serve(nowMs, it) }
            }
            return grantedAtMs
        }

        private fun Host.isUp(nowMs: Long) = nowMs >= stalledUntilMs && nowMs >= downUntilMs

        private fun serve(
            nowMs: Long,
            host: Host,
        ) {
            if (nowMs % REBALANCE_INTERVAL_MS == 0L) host.rateLimiter.rebalance(nowMs)
            val hasRequest = random.nextDouble() < host.offeredPerS / 1_000
            if (hasRequest && host.rateLimiter.take(nowMs, alpha) is RateLimitDecision.Granted) grantedAtMs += nowMs
        }

        /** Returns whether messages can pass: a host may be partitioned from all hosts or from a single one. */
        private fun isConnected(
            from: Host,
            to: Host,
        ): Boolean {
            val isLinkBroken = nowMs < linkBrokenUntilMs && brokenLink == setOf(from.record.host, to.record.host)
            return !isLinkBroken && nowMs >= from.partitionedUntilMs && nowMs >= to.partitionedUntilMs
        }

        /** Runs [action] at [to] after a network delay; some messages are lost, and some arrive twice. */
        private fun deliver(
            from: Host,
            to: Host,
            action: (Host) -> Unit,
        ) {
            if (!isConnected(from, to) || random.nextInt(20) == 0) return
            repeat(if (random.nextInt(20) == 0) 2 else 1) {
                deliveries.getOrPut(nowMs + random.nextLong(1, 60)) { ArrayList() } += { if (to.isUp(nowMs)) action(to) }
            }
        }

        private fun lend(request: LoanRequest) {
            val borrower = hosts.first { it.record.host == request.borrower }
            val lender = hosts.first { it.record.host == request.lender }
            deliver(borrower, lender) { host ->
                host.rateLimiter.lend(nowMs, request)?.let { grant -> deliver(host, borrower) { it.rateLimiter.onLoan(nowMs, grant) } }
            }
        }

        private fun sendReport(
            nowMs: Long,
            from: Host,
        ) {
            val report =
                report(
                    from.record,
                    sequence = ++from.sequence,
                    incarnation = from.incarnation,
                    demandPerS = from.rateLimiter.demandPerS(nowMs),
                    sharesPerMille = from.rateLimiter.sharesPerMille(),
                    stalePeers = from.fleet.stalePeers(nowMs),
                )
            hosts.filter { it !== from && it.isUp(nowMs) && isConnected(from, it) }.forEach { it.fleet.onReport(nowMs, report) }
        }

        private fun injectFault(nowMs: Long) {
            hosts.forEach { if (random.nextInt(3) == 0) it.offeredPerS = offeredRatesPerS.random(random) }
            val index = random.nextInt(hosts.size)
            val host = hosts[index]
            val untilMs = nowMs + random.nextLong(500, 12_000)
            when (random.nextInt(7)) {
                0 -> host.partitionedUntilMs = untilMs
                1 -> hosts.shuffled(random).take(3).forEach { it.partitionedUntilMs = untilMs }
                2 -> host.stalledUntilMs = minOf(untilMs, nowMs + 5_000)
                3 -> kill(nowMs, index)
                4 -> if (random.nextInt(4) == 0) hosts.indices.forEach { kill(nowMs, it) }
                6 -> {
                    brokenLink = hosts.shuffled(random).take(2).mapTo(HashSet()) { it.record.host }
                    linkBrokenUntilMs = untilMs
                }
                5 -> if (hosts.size < HOSTS + 2) hosts += Host(host("h${hosts.size + 1}"), nowMs, nowMs, records(hosts.size + 1), ::lend)
            }
        }

        /** Restarts a host, which loses its state and serves again once it has the host records, from the store or from a peer. */
        private fun kill(
            nowMs: Long,
            index: Int,
        ) {
            val killed = hosts[index]
            val restartAtMs = nowMs + random.nextLong(300, 3_000)
            hosts[index] =
                Host(killed.record, restartAtMs, restartAtMs, records(hosts.size), ::lend).apply {
                    downUntilMs = restartAtMs
                    offeredPerS = killed.offeredPerS
                }
        }
    }

    private fun maxInWindow(grantedAtMs: List<Long>): Int {
        var first = 0
        return grantedAtMs.indices.maxOf { last ->
            while (grantedAtMs[first] <= grantedAtMs[last] - WINDOW_MS) first++
            last - first + 1
        }
    }

    @Test
    fun `no window exceeds the rate limit whatever faults the hosts have`() {
        val firstSeed = System.getProperty("kumquatmill.seed")?.toLong()
        val seeds = if (firstSeed == null) 1L..SEEDS else firstSeed until firstSeed + SEEDS
        val violations = seeds.map { it to maxInWindow(Simulation(it).run()) }.filter { (_, max) -> max > BOUND }
        assertEquals(emptyList(), violations, "seeds and maximum requests in a window of $WINDOW_MS ms, expected at most $BOUND")
    }

    private companion object {
        const val SEEDS = 60L
        const val HOSTS = 7
        const val MIN_FLEET_SIZE = 3
        const val DURATION_MS = 40_000L
        const val FAULT_INTERVAL_MS = 1_000L
        const val REPORT_INTERVAL_MS = 500L
        const val REBALANCE_INTERVAL_MS = 250L
        const val RATE_PER_S = 100.0
        const val BURST = 100.0
        const val WINDOW_MS = 5_000

        /** Bound of the platform: the rate over the window plus the burst, a tenth more, plus 20 requests. */
        const val BOUND = (RATE_PER_S * 5 + BURST) * 1.1 + 20
        val offeredRatesPerS = listOf(0.0, 5.0, 30.0, 100.0, 400.0)
    }
}
