package io.kumquatmill.scenario.invariant

import kotlin.test.Test

/** The cap is 5 requests per interval of 1,000 ms, with a lookback of 2 intervals. */
class ShiftCapTest {
    private val invariant = shiftCap()

    private fun HistoryBuilder.shifted(
        interval: Int,
        count: Int,
        from: String = "east",
        to: String = "west",
    ) = repeat(count) { arrived(interval * 1_000L + it, hostRegion = from, workerRegion = to) }

    @Test
    fun `growth by the cap in each interval is accepted`() = invariant accepts history { (0..4).forEach { shifted(it, (it + 1) * 5) } }

    @Test
    fun `growth by one more than the cap is rejected`() =
        invariant.rejects(
            history {
                shifted(0, 5)
                shifted(1, 11)
            },
            1_000L to "east to west grew from 5 to 11 requests in an interval, expected at most 10.0",
        )

    @Test
    fun `a first shift above the cap is rejected`() =
        invariant.rejects(
            history { shifted(3, 6) },
            3_000L to "east to west grew from 0 to 6 requests in an interval, expected at most 5.0",
        )

    @Test
    fun `growth is relative to the busiest lookback interval`() =
        invariant accepts
            history {
                shifted(0, 5)
                shifted(1, 10)
                shifted(2, 1)
                shifted(3, 15)
            }

    @Test
    fun `an interval before the lookback does not count`() =
        invariant.rejects(
            history {
                shifted(0, 5)
                shifted(1, 10)
                shifted(4, 6)
            },
            4_000L to "east to west grew from 0 to 6 requests in an interval, expected at most 5.0",
        )

    @Test
    fun `each direction has its own cap, and traffic within a region has none`() =
        invariant accepts
            history {
                shifted(0, 5)
                shifted(0, 5, from = "west", to = "east")
                shifted(0, 100, from = "east", to = "east")
            }
}
