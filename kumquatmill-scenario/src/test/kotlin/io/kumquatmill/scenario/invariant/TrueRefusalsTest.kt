package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.test.Test

class TrueRefusalsTest {
    @Test
    fun `a refusal after a run is a violation when the caller receives it`() =
        trueRefusals().rejects(
            history {
                started(10, "r1")
                refused(50, "r1")
            },
            50L to "r1 was refused as not run, but ran on w1 at 10 ms",
        )

    @Test
    fun `a run after a refusal is a violation when the run starts`() =
        trueRefusals().rejects(
            history {
                refused(50, "r1")
                started(70, "r1", "w2")
            },
            70L to "r1 was refused as not run, but ran on w2 at 70 ms",
        )

    @Test
    fun `the first of several runs is reported`() =
        trueRefusals().rejects(
            history {
                started(10, "r1", "w1")
                refused(50, "r1")
                started(70, "r1", "w2")
            },
            50L to "r1 was refused as not run, but ran on w1 at 10 ms",
        )

    @Test
    fun `a refusal of a request that reached a worker but did not run is accepted`() =
        trueRefusals() accepts
            history {
                arrived(10, "r1")
                refused(50, "r1")
                started(50, "r2")
            }

    @Test
    fun `an unknown outcome and a response are accepted after a run`() =
        trueRefusals() accepts
            history {
                started(10, "r1")
                started(10, "r2")
                answered(50, "r1", Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, 500), respondedRequest = null)
                answered(50, "r2")
            }
}
