package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class LeavingWorkersTest {
    private val invariant = leavingWorkers(InvariantBounds(leavingWorkerMs = 5_000))

    @Test
    fun `a request that arrives after the time limit is rejected`() =
        invariant.rejects(
            history {
                workerLeaving(1_000)
                arrived(6_001, "r1")
            },
            6_001L to "w1 got r1 5001 ms after it started to drain, expected at most 5000 ms",
        )

    @Test
    fun `requests up to the time limit and on other workers are accepted`() =
        invariant accepts
            history {
                arrived(500)
                workerLeaving(1_000)
                arrived(6_000)
                arrived(20_000, worker = "w2")
            }

    @Test
    fun `a repeated drain notice does not extend the time limit`() =
        invariant.rejects(
            history {
                workerLeaving(1_000)
                workerLeaving(6_000)
                arrived(7_000, "r1")
            },
            7_000L to "w1 got r1 6000 ms after it started to drain, expected at most 5000 ms",
        )
}
