package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class PlannedStopsTest {
    @Test
    fun `a request that is disconnected by a graceful stop is rejected`() =
        plannedStops().rejects(
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                disconnected(210, "r1")
            },
            210L to "r1 was disconnected when h1 stopped, expected a response",
        )

    @Test
    fun `a disconnect that the caller notices after the host has restarted is still rejected`() =
        plannedStops().rejects(
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                hostStarted(205)
                disconnected(210, "r1")
            },
            210L to "r1 was disconnected when h1 stopped, expected a response",
        )

    @Test
    fun `a timeout of the caller is not a disconnect`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                hostStopping(100)
                disconnected(150, "r1", hasTimedOut = true)
            }

    @Test
    fun `a kill is not a planned stop`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                hostEnded(200, wasKilled = true)
                disconnected(210, "r1")
            }

    @Test
    fun `a host that is killed while it stops may disconnect requests`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = true)
                disconnected(210, "r1")
            }

    @Test
    fun `a kill of a later incarnation does not excuse disconnects of a stop`() =
        plannedStops().rejects(
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                disconnected(210, "r1")
                hostStarted(1_000)
                hostEnded(2_000, wasKilled = true)
            },
            210L to "r1 was disconnected when h1 stopped, expected a response",
        )

    @Test
    fun `a kill before a later stop does not excuse disconnects of that stop`() =
        plannedStops().rejects(
            history {
                hostEnded(50, wasKilled = true)
                hostStarted(60)
                sent(70, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                disconnected(210, "r1")
            },
            210L to "r1 was disconnected when h1 stopped, expected a response",
        )

    @Test
    fun `disconnects before the stop and in the next incarnation are not caused by the stop`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                disconnected(50, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                hostStarted(300)
                sent(400, "r2")
                hostEnded(500, wasKilled = true)
                disconnected(510, "r2")
            }

    @Test
    fun `a disconnect before the stop is not caused by it when the stop completes gracefully`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                disconnected(50, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
            }

    @Test
    fun `disconnects on other hosts are not caused by the stop`() =
        plannedStops() accepts
            history {
                sent(0, "r1", host = "h2")
                hostStopping(100)
                disconnected(150, "r1", host = "h2")
            }
}
