package io.kumquatmill.bench.overload

import kotlin.test.Test
import kotlin.test.assertTrue

/** Compares replays with each placement mechanism enabled and disabled, under the load pattern that the mechanism is meant for. */
class OverloadReplayTest {
    private val seeds = listOf(1, 2, 3)

    private fun mean(
        pattern: LoadPattern,
        policy: OverloadPolicy,
        value: (ReplayResult) -> Double,
    ): Double = seeds.map { value(OverloadReplay(pattern, policy, it).run()) }.average()

    private fun assertGain(
        pattern: LoadPattern,
        disabled: OverloadPolicy,
        minGain: Double,
        value: (ReplayResult) -> Double,
    ) {
        val with = mean(pattern, OverloadPolicy.design, value)
        val without = mean(pattern, disabled, value)
        assertTrue(
            with >= without + minGain,
            "${pattern.name}: expected a gain of $minGain over ${disabled.name}, found $with against $without",
        )
    }

    @Test
    fun `affinity keys earn much more benefit than random placement`() =
        assertGain(Patterns.unevenRegions, OverloadPolicy.noAffinityKeys, minGain = 0.5) { it.earnedFraction }

    @Test
    fun `own-region preference keeps requests local at no cost to the worst zone`() {
        assertGain(Patterns.unevenRegions, OverloadPolicy.noRegionPreference, minGain = 0.25) { it.localFraction }
        assertGain(Patterns.unevenRegions, OverloadPolicy.noRegionPreference, minGain = -0.01) { it.worstZoneEarnedFraction }
    }

    @Test
    fun `bounded own-region preference handles a regional burst better than local workers alone`() =
        assertGain(Patterns.regionalBurst, OverloadPolicy.ownRegionOnly, minGain = 0.01) { it.worstZoneEarnedFraction }

    @Test
    fun `further candidates take over from slow workers`() =
        assertGain(Patterns.slowWorkers, OverloadPolicy.oneCandidate, minGain = 0.03) { it.worstZoneEarnedFraction }

    @Test
    fun `limiting the wait to the target latency earns more benefit under overload`() =
        assertGain(Patterns.beyondCapacity, OverloadPolicy.noWaitLimit, minGain = 0.005) { it.earnedFraction }

    @Test
    fun `sending cold keys only to workers with spare slots keeps other keys warm`() =
        assertGain(Patterns.beyondCapacity, OverloadPolicy.noColdKeyLimit, minGain = 0.005) { it.warmFraction }

    @Test
    fun `hosts of a large fleet that share the loads of workers earn more benefit under overload`() =
        assertGain(Patterns.largeFleets.first(), OverloadPolicy.noSharedLoads, minGain = 0.1) { it.earnedFraction }

    @Test
    fun `reported speeds earn more benefit for requests without a key, and cost the others none`() {
        assertGain(SpeedPatterns.all.first(), OverloadPolicy.noReportedSpeed, minGain = 0.02) { it.earnedByCall.getValue("archive") }
        assertGain(SpeedPatterns.all.first(), OverloadPolicy.noReportedSpeed, minGain = -0.005) { it.earnedByCall.getValue("verdict") }
    }

    @Test
    fun `requests of the highest priority earn the most of their benefit under overload`() {
        val earned = seeds.map { OverloadReplay(Patterns.beyondCapacity, OverloadPolicy.design, it).run().earnedByCall }
        earned.forEach { earnedByRequest ->
            assertTrue(
                earnedByRequest.getValue("order") >= earnedByRequest.getValue("lookup") - PRIORITY_TOLERANCE,
                "expected order at least at lookup - $PRIORITY_TOLERANCE, found $earnedByRequest",
            )
        }
    }

    @Test
    fun `traffic moves between regions no faster than the shift cap allows`() {
        listOf(Patterns.unevenRegions, Patterns.regionalBurst, Patterns.wave).forEach { pattern ->
            seeds.forEach { seed ->
                val shifted = OverloadReplay(pattern, OverloadPolicy.design, seed).run().maxShiftedFraction
                assertTrue(
                    shifted <= MAX_SHIFTED_FRACTION,
                    "${pattern.name}, seed $seed: expected at most $MAX_SHIFTED_FRACTION, found $shifted",
                )
            }
        }
    }

    @Test
    fun `replays with the same seed are equal`() {
        val first = OverloadReplay(Patterns.regionalBurst, OverloadPolicy.design, 7).run()
        val second = OverloadReplay(Patterns.regionalBurst, OverloadPolicy.design, 7).run()
        assertTrue(first == second, "expected $first, found $second")
    }

    private companion object {
        /** Maximum fraction of a region's requests that may move to other regions between two 2 s windows, as in both deployments. */
        const val MAX_SHIFTED_FRACTION = 0.15

        /** Lower-priority requests may earn up to this much more of their benefit without counting as preferred. */
        const val PRIORITY_TOLERANCE = 0.15
    }
}
