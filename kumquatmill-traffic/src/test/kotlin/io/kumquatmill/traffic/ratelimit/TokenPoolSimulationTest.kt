package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import io.kumquatmill.traffic.workspace
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Simulates a small workspace whose callers reach every host of a large fleet in two regions, below its rate. */
class TokenPoolSimulationTest {
    private val alpha = WorkspaceId("alpha")

    private inner class Simulation(
        private val hostCount: Int,
        private val ratePerS: Double,
        private val settings: RateLimitSettings,
        private val loadFraction: Double,
        private val lossPerMille: Int = 0,
        private val stoppedHost: Int? = null,
    ) {
        private val random = Random(hostCount)
        private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
        private var nowMs = 0L
        private val infos = (1..hostCount).map { host("h$it", if (it % 2 == 0) "east-a" else "west-a") }
        private val fleets = infos.map { FleetView(it, minFleetSize = 3) }
        private val hosts =
            fleets.map { fleet ->
                WorkspaceRateLimiter(fleet, settings, ::sendLoanRequest).apply {
                    update(0, listOf(workspace(ratePerS = ratePerS, burst = ratePerS)))
                }
            }
        private var requests = 0
        private var refused = 0
        val grantedAtMs = ArrayList<Long>()

        fun refusedFraction(): Double {
            for (now in 0 until DURATION_MS) {
                nowMs = now
                while ((events.peek()?.first ?: Long.MAX_VALUE) <= now) events.poll().second()
                if (now % REPORT_MS == 0L) sendReports(now / REPORT_MS + 1)
                if (now % REPORT_MS == 1L) hosts.forEach { it.rebalance(now) }
                if (now == STOP_AT_MS && stoppedHost != null) hosts[stoppedHost].leave(now)
                if (now >= WARM_UP_MS && random.nextDouble() < ratePerS * loadFraction / 1_000) call(hosts.random(random))
            }
            return refused.toDouble() / requests
        }

        private fun after(
            delayMs: Long,
            action: () -> Unit,
        ) {
            events.add(nowMs + delayMs to action)
        }

        private fun indexOf(name: String) = name.drop(1).toInt() - 1

        private fun latencyMs(
            from: String,
            to: String,
        ): Long? =
            if (random.nextInt(1_000) < lossPerMille) {
                null
            } else if ((indexOf(from) + indexOf(to)) % 2 == 0) {
                1
            } else {
                36
            }

        private fun sendLoanRequest(request: LoanRequest) {
            val thereMs = latencyMs(request.borrower, request.lender) ?: return
            after(thereMs) {
                val grant = hosts[indexOf(request.lender)].lend(nowMs, request)
                val backMs = latencyMs(request.lender, request.borrower)
                if (grant != null && backMs != null) after(backMs) { hosts[indexOf(request.borrower)].onLoan(nowMs, grant) }
            }
        }

        private fun sendReports(sequence: Long) =
            hosts.forEachIndexed { from, host ->
                val demandPerS = host.demandPerS(nowMs)
                val report =
                    report(
                        infos[from],
                        sequence = sequence,
                        sharesPerMille = host.sharesPerMille(),
                        isServing = from != stoppedHost || nowMs < STOP_AT_MS,
                    )
                fleets.forEachIndexed { to, fleet ->
                    val byDemand = host.demandByPeer(listOf(infos[to]), demandPerS)
                    if (to != from) fleet.onReport(nowMs, report.copy(demandPerS = byDemand.keys.single()))
                }
            }

        private fun call(host: WorkspaceRateLimiter) {
            requests++
            host.request(alpha, { nowMs }, ::after) { if (it is RateLimitDecision.Granted) grantedAtMs += nowMs else refused++ }
        }
    }

    private val dividedSettings = RateLimitSettings(pooledBelowPerHostPerS = 0.0)

    @Test
    fun `a small workspace below its rate is hardly ever refused by a large fleet, which it is without pools`() {
        listOf(37, 300).forEach { hostCount ->
            listOf(3.0, 8.0, 25.0).forEach { ratePerS ->
                val pooled = Simulation(hostCount, ratePerS, RateLimitSettings(), LOAD_FRACTION).refusedFraction()
                val divided = Simulation(hostCount, ratePerS, dividedSettings, LOAD_FRACTION).refusedFraction()
                val found = "found $pooled with pools and $divided without"
                assertTrue(pooled < 0.01, "$hostCount hosts, rate $ratePerS: expected less than 0.01 refused with pools, $found")
                assertTrue(divided > 0.05, "$hostCount hosts, rate $ratePerS: expected more than 0.05 refused without pools, $found")
            }
        }
    }

    @Test
    fun `lost datagrams cost few refusals, as the next pool host is asked`() {
        val refused = Simulation(37, 8.0, RateLimitSettings(), LOAD_FRACTION, lossPerMille = 50).refusedFraction()
        assertTrue(refused < 0.03, "expected less than 0.03 refused when one datagram in 20 is lost, found $refused")
    }

    @Test
    fun `a pool host that stops hands its tokens over`() {
        val infos = (1..37).map { host("h$it", if (it % 2 == 0) "east-a" else "west-a") }
        val poolHost = infos.indexOf(TokenPools(infos.toSet(), infos[0]).of(alpha).first())
        val refused = Simulation(37, 8.0, RateLimitSettings(), LOAD_FRACTION, stoppedHost = poolHost).refusedFraction()
        assertTrue(refused < 0.02, "expected less than 0.02 refused, found $refused")
    }

    @Test
    fun `a small workspace far above its rate stays within it and gets most of it`() {
        val simulation = Simulation(37, 8.0, RateLimitSettings(), loadFraction = 5.0)
        simulation.refusedFraction()
        val granted = simulation.grantedAtMs
        val maxInWindow = granted.maxOf { from -> granted.count { it in from until from + WINDOW_MS } }
        val bound = (8.0 * WINDOW_MS / 1_000 + 8.0) * 1.1 + 20
        assertTrue(maxInWindow <= bound, "expected at most $bound requests in a window, found $maxInWindow")
        val rateOverTime = granted.size * 1_000.0 / (DURATION_MS - WARM_UP_MS)
        assertTrue(rateOverTime > 8.0 * 0.8, "expected four fifths of the rate of 8.0, found $rateOverTime")
    }

    private companion object {
        const val LOAD_FRACTION = 0.7
        const val REPORT_MS = 1_000L
        const val WARM_UP_MS = 13_000L
        const val STOP_AT_MS = 20_000L
        const val DURATION_MS = 60_000L
        const val WINDOW_MS = 5_000L
    }
}
