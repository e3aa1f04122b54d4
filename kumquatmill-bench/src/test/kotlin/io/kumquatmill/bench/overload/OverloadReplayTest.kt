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

    /** Guards against admission that earns more in total by starving a zone, a kind of request or the workspaces of a priority. */
    @Test
    fun `admission by cost earns more in total, and nobody pays for it with more than the stated amount`() =
        listOf(ScarcityPatterns.lectures(7), ScarcityPatterns.lectures(34), ScarcityPatterns.photos(34)).forEach { pattern ->
            val with = seeds.map { OverloadReplay(pattern, OverloadPolicy.byCost, it).run() }
            val without = seeds.map { OverloadReplay(pattern, OverloadPolicy.byTarget, it).run() }
            val gain = with.map { it.earnedFraction }.average() - without.map { it.earnedFraction }.average()
            assertTrue(gain >= MIN_ADMISSION_GAIN, "${pattern.name}: expected a gain of $MIN_ADMISSION_GAIN, found $gain")
            assertNoGroupLoses(pattern, without, with, MAX_ZONE_LOSS) { it.earnedByZone }
            assertNoGroupLoses(pattern, without, with, MAX_KIND_LOSS) { it.earnedByCall }
            assertNoGroupLoses(pattern, without, with, MAX_ZONE_LOSS) { result ->
                result.groups.filter { it.name.startsWith("workspace") }.associate { it.name to it.earnedFraction }
            }
        }

    private fun assertNoGroupLoses(
        pattern: LoadPattern,
        without: List<ReplayResult>,
        with: List<ReplayResult>,
        maxLoss: Double,
        earned: (ReplayResult) -> Map<String, Double>,
    ) = earned(with.first()).keys.forEach { group ->
        val loss = without.map { earned(it).getValue(group) }.average() - with.map { earned(it).getValue(group) }.average()
        assertTrue(loss <= maxLoss, "${pattern.name}: expected $group to lose at most $maxLoss, found $loss")
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

        /** The aim of admission by cost is a gain that callers notice, more than the differences between seeds. */
        const val MIN_ADMISSION_GAIN = 0.05

        /** No zone and no workspace priority is to pay for the others; this much is a difference between seeds. */
        const val MAX_ZONE_LOSS = 0.01

        /** The least urgent kind yields to others, by at most a quarter of the value that its requests can earn. */
        const val MAX_KIND_LOSS = 0.25

        /** Lower-priority requests may earn up to this much more of their benefit without counting as preferred. */
        const val PRIORITY_TOLERANCE = 0.15
    }
}
