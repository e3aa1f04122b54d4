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

/** Simulates a workspace below its rate whose few callers start, stop and switch hosts, with and without loans between the hosts. */
class LoanSimulationTest {
    private val alpha = WorkspaceId("alpha")

    private inner class Simulation(
        private val ratePerS: Double,
        private val hasLoans: Boolean,
        seed: Int,
    ) {
        private val random = Random(seed)
        private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
        private var nowMs = 0L
        private val fleets = (1..HOSTS).map { FleetView(host("h$it"), minFleetSize = 3) }
        private val hosts =
            fleets.map { fleet ->
                WorkspaceRateLimiter(fleet, sendLoanRequest = ::sendLoanRequest).apply {
                    update(0, listOf(workspace(ratePerS = ratePerS, burst = ratePerS)))
                }
            }
        private val hostOfCaller = IntArray(CALLERS) { random.nextInt(HOSTS) }
        private val isActive = BooleanArray(CALLERS) { true }
        private var requests = 0
        private var refused = 0

        fun refusedFraction(): Double {
            for (now in 0 until DURATION_MS) {
                nowMs = now
                while ((events.peek()?.first ?: Long.MAX_VALUE) <= now) events.poll().second()
                if (now % 500 == 0L) sendReports(now / 500 + 1)
                if (now % 250 == 0L) hosts.forEach { it.rebalance(now) }
                if (now >= WARM_UP_MS) hostOfCaller.indices.forEach(::maybeCall)
            }
            return refused.toDouble() / requests
        }

        private fun after(
            delayMs: Long,
            action: () -> Unit,
        ) {
            events.add(nowMs + delayMs to action)
        }

        private fun sendLoanRequest(request: LoanRequest) {
            if (!hasLoans) return
            after(LATENCY_MS) {
                val grant = hosts[request.lender.drop(1).toInt() - 1].lend(nowMs, request)
                if (grant != null) after(LATENCY_MS) { hosts[request.borrower.drop(1).toInt() - 1].onLoan(nowMs, grant) }
            }
        }

        private fun sendReports(sequence: Long) =
            hosts.forEachIndexed { from, host ->
                val report =
                    report(
                        host("h${from + 1}"),
                        sequence = sequence,
                        demandPerS = host.demandPerS(nowMs),
                        sharesPerMille = host.sharesPerMille(),
                        stalePeers = fleets[from].stalePeers(nowMs),
                    )
                fleets.forEachIndexed { to, fleet -> if (to != from) fleet.onReport(nowMs, report) }
            }

        private fun maybeCall(caller: Int) {
            if (random.nextInt(4_000) == 0) hostOfCaller[caller] = random.nextInt(HOSTS)
            if (random.nextInt(2_000) == 0) isActive[caller] = !isActive[caller]
            val requestsPerMs = ratePerS * LOAD_FRACTION / (CALLERS / 2) / 1_000
            if (!isActive[caller] || random.nextDouble() >= requestsPerMs) return
            requests++
            val host = hosts[hostOfCaller[caller]]
            host.request(alpha, { nowMs }, ::after) { if (it is RateLimitDecision.Refused) refused++ }
        }
    }

    private fun meanRefusedFraction(
        ratePerS: Double,
        hasLoans: Boolean,
    ): Double = (1..5).map { Simulation(ratePerS, hasLoans, it).refusedFraction() }.average()

    @Test
    fun `loans at least halve the refusals of a workspace below its rate`() {
        listOf(6.0, 20.0, 80.0).forEach { ratePerS ->
            val withLoans = meanRefusedFraction(ratePerS, hasLoans = true)
            val withoutLoans = meanRefusedFraction(ratePerS, hasLoans = false)
            assertTrue(withLoans <= withoutLoans / 2, "rate $ratePerS: expected at most half of $withoutLoans refused, found $withLoans")
        }
    }

    private companion object {
        const val HOSTS = 7
        const val CALLERS = 8

        /** Average demand as a fraction of the rate, when half of the callers are active. */
        const val LOAD_FRACTION = 0.6
        const val LATENCY_MS = 36L
        const val WARM_UP_MS = 13_000L
        const val DURATION_MS = 45_000L
    }
}
