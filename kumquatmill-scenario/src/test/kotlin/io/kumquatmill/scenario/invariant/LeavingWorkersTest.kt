package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class LeavingWorkersTest {
    private val invariant = leavingWorkers(InvariantBounds(leavingWorkerMs = 5_000))

    @Test
    fun `work that arrives after the bound is rejected`() =
        invariant.rejects(
            history {
                leaving(1_000)
                arrived(6_001, "r1")
            },
            6_001L to "w1 got r1 5001 ms after it began to leave, expected at most 5000 ms",
        )

    @Test
    fun `work at the bound, before it and on other workers is accepted`() =
        invariant accepts
            history {
                arrived(500)
                leaving(1_000)
                arrived(6_000)
                arrived(20_000, worker = "w2")
            }

    @Test
    fun `a repeated notice does not extend the time`() =
        invariant.rejects(
            history {
                leaving(1_000)
                leaving(6_000)
                arrived(7_000, "r1")
            },
            7_000L to "w1 got r1 6000 ms after it began to leave, expected at most 5000 ms",
        )
}
