package io.kumquatmill.routing.retry

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.request.RequestState
import io.kumquatmill.routing.testUpstream
import io.kumquatmill.routing.zapad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RetryPolicyTest {
    private val notRun = Outcome.NotRun(RefusalReason.NO_CAPACITY, 250)
    private val unknown = Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, 0)
    private val generousSettings = RetrySettings(maxAttempts = 5, reserveRetries = 100.0)

    @Test
    fun `a request on a route that is not idempotent never runs twice`() {
        val runsTwice = (1..5_000).count { seed -> possibleRuns(seed, isIdempotent = false) > 1 }
        assertEquals(0, runsTwice, "requests that may have run twice")
    }

    @Test
    fun `without the rule for routes that are not idempotent, some requests run twice`() {
        val runsTwice = (1..5_000).count { seed -> possibleRuns(seed, isIdempotent = true) > 1 }
        assertTrue(runsTwice > 500, "requests that may have run twice: $runsTwice, expected more than 500")
    }

    @Test
    fun `a final refusal is not-run only if no attempt may have run`() {
        for (seed in 1..5_000) {
            val (outcome, mayHaveRun) = simulate(seed, isIdempotent = true)
            if (outcome is Outcome.NotRun) assertTrue(!mayHaveRun, "seed $seed: refused as not run after an unknown attempt")
        }
    }

    @Test
    fun `a retry excludes the workers that were already tried`() {
        val state = request(isIdempotent = true).withAttempt(WorkerId("a")).withAttempt(WorkerId("b"))
        assertEquals(RetryDecision.Retry(setOf(WorkerId("a"), WorkerId("b"))), policy(generousSettings).decide(0, state, zapad, unknown))
    }

    @Test
    fun `a final refusal states when to retry`() {
        val state = request(isIdempotent = true).withAttempt(WorkerId("a"))
        val nearDeadline = policy(generousSettings).decide(990, state, zapad, unknown)
        val withoutBudget = policy(RetrySettings(reserveRetries = 0.0)).decide(0, state, zapad, notRun)
        assertEquals(RetryDecision.Final(Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, 1_000)), nearDeadline)
        assertEquals(RetryDecision.Final(notRun), withoutBudget)
    }

    @Test
    fun `retries stay a bounded fraction of the requests of a workspace`() {
        val budget = RetryBudget()
        val policy = RetryPolicy(budget)
        val retries =
            (1..10_000).count {
                budget.deposit(it.toLong(), workspace, zapad)
                policy.decide(it.toLong(), request(false, it.toLong()).withAttempt(WorkerId("a")), zapad, notRun) is RetryDecision.Retry
            }
        assertTrue(retries in 990..1_010, "retries of 10000 requests: $retries, expected a tenth plus the reserve")
    }

    @Test
    fun `budgets of idle workspaces are evicted`() {
        val budget = RetryBudget()
        for (number in 1..100_000) budget.deposit(number * 100L, WorkspaceId("workspace-$number"), zapad)
        assertTrue(budget.size <= 601, "budgets in memory: ${budget.size}, expected at most those of the last minute")
    }

    private fun possibleRuns(
        seed: Int,
        isIdempotent: Boolean,
    ): Int {
        var runs = 0
        simulate(seed, isIdempotent) { if (it !is Outcome.NotRun) runs += 1 }
        return runs
    }

    private fun simulate(
        seed: Int,
        isIdempotent: Boolean,
        onAttempt: (Outcome) -> Unit = {},
    ): Pair<Outcome, Boolean> {
        val random = Random(seed)
        val policy = policy(generousSettings)
        var state = request(isIdempotent)
        var nowMs = 0L
        while (true) {
            state = state.withAttempt(WorkerId("worker-${state.attempts}"))
            nowMs += random.nextLong(300)
            val outcome = listOf(notRun, unknown, notRun, Outcome.Answered(200)).random(random).also(onAttempt)
            val decision = policy.decide(nowMs, state, zapad, outcome)
            state = state.withOutcome(outcome)
            if (decision is RetryDecision.Final) return decision.outcome to state.mayHaveRun
            assertIs<RetryDecision.Retry>(decision)
        }
    }

    private fun policy(settings: RetrySettings) = RetryPolicy(RetryBudget(settings), settings)

    private fun request(
        isIdempotent: Boolean,
        nowMs: Long = 0,
    ): RequestState {
        val route = Route(RouteId("orders"), "/orders", setOf("POST"), testUpstream, isIdempotent)
        return RequestState(RequestId("r"), workspace, route, nowMs, nowMs + 1_000)
    }

    private companion object {
        val workspace = WorkspaceId("pharmacy")
    }
}
