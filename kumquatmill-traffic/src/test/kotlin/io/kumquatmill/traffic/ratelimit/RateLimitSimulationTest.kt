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

    /** Size of the fleet and limit of the workspace; the tokens of a rate that is low for the fleet are pooled. */
    private class Deployment(
        val hosts: Int,
        val ratePerS: Double,
        val burst: Double,
        val offeredRatesPerS: List<Double>,
        val reportIntervalMs: Long,
    ) {
        /** Bound of the platform: the rate over the window plus the burst, a tenth more, plus 20 requests. */
        val bound = (ratePerS * WINDOW_MS / 1_000 + burst) * 1.1 + 20
    }

    private class Host(
        private val deployment: Deployment,
        val record: EntryHostInfo,
        nowMs: Long,
        val incarnation: Long,
        records: List<EntryHostInfo>,
        sendLoanRequest: (LoanRequest) -> Unit,
    ) {
        val fleet = FleetView(record, minFleetSize = MIN_FLEET_SIZE).apply { updateHosts(nowMs, records) }
        val rateLimiter =
            WorkspaceRateLimiter(fleet, sendLoanRequest = sendLoanRequest).apply {
                update(nowMs, listOf(workspace(ratePerS = deployment.ratePerS, burst = deployment.burst)))
            }
        var sequence = 0L
        var partitionedUntilMs = 0L
        var stalledUntilMs = 0L
        var downUntilMs = 0L
        var offeredPerS = 0.0
    }

    private inner class Simulation(
        private val deployment: Deployment,
        seed: Long,
    ) {
        private val random = Random(seed)
        private var nowMs = 0L
        private var brokenLink = emptySet<String>()
        private var linkBrokenUntilMs = 0L
        private val deliveries = HashMap<Long, ArrayList<() -> Unit>>()
        private val hosts = records(deployment.hosts).mapTo(ArrayList()) { Host(deployment, it, 0, 1, records(deployment.hosts), ::lend) }
        private val grantedAtMs = ArrayList<Long>()

        private fun records(count: Int) = (1..count).map { host("h$it", zones[it % zones.size]) }

        fun run(): List<Long> {
            for (now in 0L until DURATION_MS) {
                nowMs = now
                deliveries.remove(now)?.forEach { it() }
                if (nowMs % FAULT_INTERVAL_MS == 0L) injectFault(nowMs)
                if (nowMs % deployment.reportIntervalMs == 0L) hosts.filter { it.isUp(nowMs) }.forEach { sendReport(nowMs, it) }
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
            if (!hasRequest) return
            host.rateLimiter.request(alpha, { this.nowMs }, { delayMs, action -> afterIfUp(host, delayMs, action) }) { decision ->
                if (decision is RateLimitDecision.Granted) grantedAtMs += this.nowMs
            }
        }

        private fun afterIfUp(
            host: Host,
            delayMs: Long,
            action: () -> Unit,
        ) {
            deliveries.getOrPut(nowMs + delayMs) { ArrayList() } += { if (host.isUp(nowMs)) action() }
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
            hosts.filter { it !== from && it.isUp(nowMs) && isConnected(from, it) }.forEach { to ->
                val byDemand = from.rateLimiter.demandByPeer(listOf(to.record), report.demandPerS)
                to.fleet.onReport(nowMs, report.copy(demandPerS = byDemand.keys.single()))
            }
        }

        private fun injectFault(nowMs: Long) {
            hosts.forEach { if (random.nextInt(3) == 0) it.offeredPerS = deployment.offeredRatesPerS.random(random) }
            val index = random.nextInt(hosts.size)
            val host = hosts[index]
            val untilMs = nowMs + random.nextLong(500, 12_000)
            when (random.nextInt(7)) {
                0 -> host.partitionedUntilMs = untilMs
                1 -> hosts.shuffled(random).take(hosts.size * 3 / 7).forEach { it.partitionedUntilMs = untilMs }
                2 -> host.stalledUntilMs = minOf(untilMs, nowMs + 5_000)
                3 -> kill(nowMs, index)
                4 -> if (random.nextInt(4) == 0) hosts.indices.forEach { kill(nowMs, it) }
                6 -> {
                    brokenLink = hosts.shuffled(random).take(2).mapTo(HashSet()) { it.record.host }
                    linkBrokenUntilMs = untilMs
                }
                5 -> if (hosts.size < deployment.hosts + 2) addHost(nowMs)
            }
        }

        private fun addHost(nowMs: Long) {
            val all = records(hosts.size + 1)
            hosts += Host(deployment, all.last(), nowMs, nowMs, all, ::lend)
        }

        /** Restarts a host, which loses its state and serves again once it has the host records, from the store or from a peer. */
        private fun kill(
            nowMs: Long,
            index: Int,
        ) {
            val killed = hosts[index]
            val restartAtMs = nowMs + random.nextLong(300, 3_000)
            hosts[index] =
                Host(deployment, killed.record, restartAtMs, restartAtMs, records(hosts.size), ::lend).apply {
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

    private fun violations(deployment: Deployment): List<Pair<Long, Int>> {
        val firstSeed = System.getProperty("kumquatmill.seed")?.toLong()
        val seeds = if (firstSeed == null) 1L..SEEDS else firstSeed until firstSeed + SEEDS
        return seeds.map { it to maxInWindow(Simulation(deployment, it).run()) }.filter { (_, max) -> max > deployment.bound }
    }

    @Test
    fun `no window exceeds the rate limit whatever faults the hosts have`() {
        val deployment =
            Deployment(hosts = 7, ratePerS = 100.0, burst = 100.0, listOf(0.0, 5.0, 30.0, 100.0, 400.0), reportIntervalMs = 500)
        assertEquals(emptyList(), violations(deployment), "seeds and maximum requests in a window, expected at most ${deployment.bound}")
    }

    @Test
    fun `no window exceeds a rate limit whose tokens are pooled whatever faults the hosts have`() {
        val deployment = Deployment(hosts = 25, ratePerS = 30.0, burst = 30.0, listOf(0.0, 0.2, 1.0, 3.0, 50.0), reportIntervalMs = 1_000)
        assertEquals(emptyList(), violations(deployment), "seeds and maximum requests in a window, expected at most ${deployment.bound}")
    }

    private companion object {
        const val SEEDS = 60L
        const val MIN_FLEET_SIZE = 3
        const val DURATION_MS = 40_000L
        const val FAULT_INTERVAL_MS = 1_000L
        const val REBALANCE_INTERVAL_MS = 250L
        const val WINDOW_MS = 5_000
        val zones = listOf("east-a", "west-a", "east-b")
    }
}
