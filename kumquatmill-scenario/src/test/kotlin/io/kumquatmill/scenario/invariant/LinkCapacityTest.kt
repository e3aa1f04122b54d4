package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class LinkCapacityTest {
    private val invariant = linkCapacity(InvariantBounds(linkWindowMs = 1_000))

    private fun HistoryBuilder.crossing(
        atMs: Long,
        from: String,
        to: String,
        bytes: Long,
    ) = arrived(atMs, hostRegion = from, workerRegion = to, bytes = bytes)

    @Test
    fun `one byte more than the link carries in a window is rejected`() =
        invariant.rejects(
            history {
                crossing(100, "east", "west", 100_000)
                crossing(1_099, "east", "west", 25_001)
            },
            1_099L to "east to west carried 125001 bytes in 1000 ms, expected at most 125000",
        )

    @Test
    fun `as many bytes as the link carries are accepted`() =
        invariant accepts
            history {
                crossing(100, "east", "west", 100_000)
                crossing(1_099, "east", "west", 25_000)
            }

    @Test
    fun `bytes leave the window after its length`() =
        invariant accepts history { (0L..3_000L step 1_000).forEach { crossing(it, "east", "west", 125_000) } }

    @Test
    fun `each direction has the whole capacity on its own`() =
        invariant accepts
            history {
                crossing(100, "east", "west", 125_000)
                crossing(100, "west", "east", 125_000)
            }

    @Test
    fun `answers count in the direction from the worker to the host`() =
        invariant.rejects(
            history {
                crossing(100, "east", "west", 125_000)
                answerSent(200, workerRegion = "west", hostRegion = "east", bytes = 125_000)
                answerSent(300, workerRegion = "west", hostRegion = "east", bytes = 1)
            },
            300L to "west to east carried 125001 bytes in 1000 ms, expected at most 125000",
        )

    @Test
    fun `requests one way and answers the same way share the link`() =
        invariant.rejects(
            history {
                crossing(100, "west", "east", 100_000)
                answerSent(200, workerRegion = "west", hostRegion = "east", bytes = 30_000)
            },
            200L to "west to east carried 130000 bytes in 1000 ms, expected at most 125000",
        )

    @Test
    fun `traffic within a region uses no link`() = invariant accepts history { crossing(100, "east", "east", 9_000_000) }
}
