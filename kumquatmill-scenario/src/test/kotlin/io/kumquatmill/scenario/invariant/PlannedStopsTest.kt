package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class PlannedStopsTest {
    @Test
    fun `a request that is cut by an orderly stop is rejected`() =
        plannedStops().rejects(
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                disconnected(210, "r1")
            },
            210L to "r1 was cut when h1 stopped, expected an answer",
        )

    @Test
    fun `a cut that the caller sees after the host started again is still rejected`() =
        plannedStops().rejects(
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                hostStarted(205)
                disconnected(210, "r1")
            },
            210L to "r1 was cut when h1 stopped, expected an answer",
        )

    @Test
    fun `a time-out of the caller is not a cut`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                hostStopping(100)
                disconnected(150, "r1", hasTimedOut = true)
            }

    @Test
    fun `a killed host is not a planned stop`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                hostEnded(200, wasKilled = true)
                disconnected(210, "r1")
            }

    @Test
    fun `a host that is killed while it stops may cut requests`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = true)
                disconnected(210, "r1")
            }

    @Test
    fun `a kill in a later life does not excuse the cuts of a stop`() =
        plannedStops().rejects(
            history {
                sent(0, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                disconnected(210, "r1")
                hostStarted(1_000)
                hostEnded(2_000, wasKilled = true)
            },
            210L to "r1 was cut when h1 stopped, expected an answer",
        )

    @Test
    fun `a kill before a later stop does not excuse the cuts of that stop`() =
        plannedStops().rejects(
            history {
                hostEnded(50, wasKilled = true)
                hostStarted(60)
                sent(70, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
                disconnected(210, "r1")
            },
            210L to "r1 was cut when h1 stopped, expected an answer",
        )

    @Test
    fun `cuts before the stop and in the life after it are not due to the stop`() =
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
    fun `a cut before the stop is not due to it when the stop ends in order`() =
        plannedStops() accepts
            history {
                sent(0, "r1")
                disconnected(50, "r1")
                hostStopping(100)
                hostEnded(200, wasKilled = false)
            }

    @Test
    fun `cuts on other hosts are not due to the stop`() =
        plannedStops() accepts
            history {
                sent(0, "r1", host = "h2")
                hostStopping(100)
                disconnected(150, "r1", host = "h2")
            }
}
