package io.kumquatmill.scenario.invariant

import io.kumquatmill.configuration.model.OperatorConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals

class RateWithinPlanTest {
    private val invariant = rateWithinPlan(InvariantBounds(inForceMs = 8_000))
    private val plan = planConfiguration(ratePerS = 10.0, burst = 5)

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
    fun `as many attempts as the plan's burst are accepted`() =
        invariant accepts
            history {
                configurationAccepted(0, plan)
                burst(1_000, 5)
            }

    @Test
    fun `one attempt more than the burst is rejected`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                burst(1_000, 6)
            },
            1_000L to "acme got 6 attempts in 0 ms, expected at most 5.00",
        )

    @Test
    fun `attempts on all hosts and workers count together, except those without a workspace`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                burst(1_000, 5)
                arrived(1_010, worker = "w2", workerRegion = "west", hostRegion = "west")
                arrived(1_010, workspace = null)
            },
            1_010L to "acme got 6 attempts in 10 ms, expected at most 5.10",
        )

    @Test
    fun `used burst is replenished at the plan's rate`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                burst(1_000, 5)
                burst(1_300, 3)
                arrived(1_399)
            },
            1_399L to "acme got 9 attempts in 399 ms, expected at most 8.99",
        )

    @Test
    fun `a long idle time accumulates no more than the burst`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                burst(60_000, 6)
            },
            60_000L to "acme got 6 attempts in 0 ms, expected at most 5.00",
        )

    @Test
    fun `a burst followed by minutes at exactly the rate is accepted`() =
        invariant accepts
            history {
                configurationAccepted(0, plan)
                burst(1_000, 5)
                steady(fromMs = 1_100, everyMs = 100, count = 3_000)
            }

    @Test
    fun `exceeding the rate by one percent is rejected once the burst is used up`() {
        val history =
            history {
                configurationAccepted(0, plan)
                steady(fromMs = 0, everyMs = 99, count = 402)
            }
        val first = invariant.check(history).first()
        assertEquals(39_699L to "acme got 402 attempts in 39699 ms, expected at most 401.99", first.atMs to first.detail)
    }

    @Test
    fun `exceeding the rate within the burst is accepted`() =
        invariant accepts
            history {
                configurationAccepted(0, plan)
                steady(fromMs = 0, everyMs = 99, count = 401)
            }

    @Test
    fun `while a reduction propagates the old plan applies, and then the new one`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                configurationAccepted(20_000, planConfiguration(ratePerS = 1.0, burst = 2))
                burst(27_000, 5)
                burst(29_000, 3)
            },
            29_000L to "acme got 3 attempts in 0 ms, expected at most 2.00",
        )

    @Test
    fun `a smaller burst applies from the moment its propagation time ends`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                configurationAccepted(20_000, planConfiguration(ratePerS = 1.0, burst = 2))
                burst(28_000, 3)
            },
            28_000L to "acme got 3 attempts in 0 ms, expected at most 2.00",
        )

    @Test
    fun `a greater burst applies from the edit on, less what was used just before`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                burst(20_000, 5)
                configurationAccepted(20_000, planConfiguration(ratePerS = 10.0, burst = 8))
                burst(20_000, 4)
            },
            20_000L to "acme got 9 attempts in 0 ms, expected at most 8.00",
        )

    @Test
    fun `a greater rate applies from the edit on`() =
        invariant accepts
            history {
                configurationAccepted(0, plan)
                burst(20_000, 5)
                configurationAccepted(20_000, planConfiguration(ratePerS = 100.0, burst = 5))
                burst(20_050, 5)
            }

    @Test
    fun `a new workspace has its burst from the edit on`() =
        invariant accepts
            history {
                configurationAccepted(0, OperatorConfiguration())
                configurationAccepted(20_000, plan)
                burst(20_001, 5)
            }

    @Test
    fun `a workspace gets nothing before it has a plan`() =
        invariant.rejects(
            history {
                arrived(500)
                configurationAccepted(1_000, plan)
            },
            500L to "acme got 1 attempts in 0 ms, expected at most 0.00",
        )

    @Test
    fun `a workspace gets nothing once its removal has propagated`() =
        invariant.rejects(
            history {
                configurationAccepted(0, plan)
                configurationAccepted(20_000, OperatorConfiguration())
                arrived(27_999)
                arrived(28_000)
            },
            28_000L to "acme got 1 attempts in 0 ms, expected at most 0.00",
        )
}
