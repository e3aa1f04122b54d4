package io.kumquatmill.scenario.invariant

import io.kumquatmill.configuration.model.OperatorConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals

class RateWithinPlanTest {
    private val invariant = rateWithinPlan(InvariantBounds(inForceMs = 8_000))
    private val plan = planLists(ratePerS = 10.0, burst = 5)

    private fun HistoryBuilder.burst(
        atMs: Long,
        count: Int,
    ) = repeat(count) { arrived(atMs) }

    private fun HistoryBuilder.steady(
        fromMs: Long,
        everyMs: Long,
        count: Int,
    ) = repeat(count) { arrived(fromMs + it * everyMs) }

    @Test
    fun `a burst of exactly the plan's burst is accepted`() =
        invariant accepts
            history {
                accepted(0, plan)
                burst(1_000, 5)
            }

    @Test
    fun `one attempt more than the burst is rejected`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                burst(1_000, 6)
            },
            1_000L to "acme got 6 attempts in 0 ms, expected at most 5.00",
        )

    @Test
    fun `attempts on all hosts and workers count together, and those of other workspaces don't`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                burst(1_000, 5)
                arrived(1_010, worker = "w2", workerRegion = "west", hostRegion = "west")
                arrived(1_010, workspace = null)
            },
            1_010L to "acme got 6 attempts in 10 ms, expected at most 5.10",
        )

    @Test
    fun `what was used comes back at the plan's rate`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                burst(1_000, 5)
                burst(1_300, 3)
                arrived(1_399)
            },
            1_399L to "acme got 9 attempts in 399 ms, expected at most 8.99",
        )

    @Test
    fun `a long idle time saves up no more than the burst`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                burst(60_000, 6)
            },
            60_000L to "acme got 6 attempts in 0 ms, expected at most 5.00",
        )

    @Test
    fun `a burst and then exactly the rate is accepted for minutes`() =
        invariant accepts
            history {
                accepted(0, plan)
                burst(1_000, 5)
                steady(fromMs = 1_100, everyMs = 100, count = 3_000)
            }

    @Test
    fun `an overrun by one in a hundred is found once it has used the burst up`() {
        val history =
            history {
                accepted(0, plan)
                steady(fromMs = 0, everyMs = 99, count = 402)
            }
        val first = invariant.check(history).first()
        assertEquals(39_699L to "acme got 402 attempts in 39699 ms, expected at most 401.99", first.atMs to first.detail)
    }

    @Test
    fun `an overrun within the burst is accepted`() =
        invariant accepts
            history {
                accepted(0, plan)
                steady(fromMs = 0, everyMs = 99, count = 401)
            }

    @Test
    fun `while a reduction is spreading the old plan counts, and then the new one`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                accepted(20_000, planLists(ratePerS = 1.0, burst = 2))
                burst(27_000, 5)
                burst(29_000, 3)
            },
            29_000L to "acme got 3 attempts in 0 ms, expected at most 2.00",
        )

    @Test
    fun `the smaller burst counts from the very end of the spreading`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                accepted(20_000, planLists(ratePerS = 1.0, burst = 2))
                burst(28_000, 3)
            },
            28_000L to "acme got 3 attempts in 0 ms, expected at most 2.00",
        )

    @Test
    fun `a greater burst counts from the edit on, less what was used just before`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                burst(20_000, 5)
                accepted(20_000, planLists(ratePerS = 10.0, burst = 8))
                burst(20_000, 4)
            },
            20_000L to "acme got 9 attempts in 0 ms, expected at most 8.00",
        )

    @Test
    fun `a greater rate counts from the edit on`() =
        invariant accepts
            history {
                accepted(0, plan)
                burst(20_000, 5)
                accepted(20_000, planLists(ratePerS = 100.0, burst = 5))
                burst(20_050, 5)
            }

    @Test
    fun `a new workspace has its burst from the edit on`() =
        invariant accepts
            history {
                accepted(0, OperatorConfiguration())
                accepted(20_000, plan)
                burst(20_001, 5)
            }

    @Test
    fun `a workspace gets nothing before it has a plan`() =
        invariant.rejects(
            history {
                arrived(500)
                accepted(1_000, plan)
            },
            500L to "acme got 1 attempts in 0 ms, expected at most 0.00",
        )

    @Test
    fun `a workspace gets nothing once its removal has spread`() =
        invariant.rejects(
            history {
                accepted(0, plan)
                accepted(20_000, OperatorConfiguration())
                arrived(27_999)
                arrived(28_000)
            },
            28_000L to "acme got 1 attempts in 0 ms, expected at most 0.00",
        )
}
