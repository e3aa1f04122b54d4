package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class LinkCapacityTest {
    private val invariant = linkCapacity(InvariantBounds(linkWindowMs = 1_000))

    private fun HistoryBuilder.transferred(
        atMs: Long,
        from: String,
        to: String,
        bytes: Long,
    ) = arrived(atMs, hostRegion = from, workerRegion = to, bytes = bytes)

    @Test
    fun `one byte more than the link capacity in a window is rejected`() =
        invariant.rejects(
            history {
                transferred(100, "east", "west", 100_000)
                transferred(1_099, "east", "west", 25_001)
            },
            1_099L to "east to west carried 125001 bytes in 1000 ms, expected at most 125000",
        )

    @Test
    fun `as many bytes as the link capacity are accepted`() =
        invariant accepts
            history {
                transferred(100, "east", "west", 100_000)
                transferred(1_099, "east", "west", 25_000)
            }

    @Test
    fun `bytes leave the window after its length`() =
        invariant accepts history { (0L..3_000L step 1_000).forEach { transferred(it, "east", "west", 125_000) } }

    @Test
    fun `each direction has the full capacity`() =
        invariant accepts
            history {
                transferred(100, "east", "west", 125_000)
                transferred(100, "west", "east", 125_000)
            }

    @Test
    fun `responses count in the direction from the worker to the host`() =
        invariant.rejects(
            history {
                transferred(100, "east", "west", 125_000)
                responseSent(200, workerRegion = "west", hostRegion = "east", bytes = 125_000)
                responseSent(300, workerRegion = "west", hostRegion = "east", bytes = 1)
            },
            300L to "west to east carried 125001 bytes in 1000 ms, expected at most 125000",
        )

    @Test
    fun `requests and responses in the same direction share the link`() =
        invariant.rejects(
            history {
                transferred(100, "west", "east", 100_000)
                responseSent(200, workerRegion = "west", hostRegion = "east", bytes = 30_000)
            },
            200L to "west to east carried 130000 bytes in 1000 ms, expected at most 125000",
        )

    @Test
    fun `traffic within a region uses no link`() = invariant accepts history { transferred(100, "east", "east", 9_000_000) }
}
