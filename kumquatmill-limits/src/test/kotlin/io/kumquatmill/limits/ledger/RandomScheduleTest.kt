package io.kumquatmill.limits.ledger

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Random load and random failures of all kinds together, on seeded schedules. */
class RandomScheduleTest {
    private val acme = LimitId("rate/acme")
    private val tiny = LimitId("rate/tiny")
    private val large = LimitId("slots/large")
    private val small = LimitId("slots/small")
    private val specs =
        limits {
            rate(acme.value, ratePerS = 100.0, burst = 40.0)
            rate(tiny.value, ratePerS = 5.0, burst = 3.0)
            slots(large.value, 14)
            slots(small.value, 3)
        }

    @Test
    fun `no schedule of failures passes a limit`() {
        var taken = 0
        for (seed in 1..SEEDS) {
            val fleet = run(seed)
            taken += fleet.takes.values.sumOf { it.size }
            violations(fleet).let { assertTrue(it.isEmpty(), "seed $seed: $it") }
        }
        assertTrue(taken > SEEDS * 1_000, "the schedules took only $taken tokens")
    }

    private fun run(seed: Int): FakeFleet {
        val random = Random(seed)
        val network =
            FakeNetwork(
                maxDelayMs = random.nextLong(2, 120),
                lossPart = random.nextDouble(0.15),
                duplicatePart = random.nextDouble(0.2),
                stragglerPart = random.nextDouble(0.1),
            )
        val fleet = FakeFleet(SEVEN, specs, seed = seed, network = network, maxDrift = DRIFT)
        val hungry = mutableSetOf(1, 2)
        fleet.every(20) { hungry.forEach { load(fleet, it) } }
        fleet.every(3_000) {
            hungry.clear()
            repeat(random.nextInt(1, 4)) { hungry += random.nextInt(1, 8) }
        }
        fleet.every(2_500) { fail(fleet, random) }
        fleet.runUntil(DURATION_MS)
        return fleet
    }

    private fun load(
        fleet: FakeFleet,
        index: Int,
    ) = fleet.processes.filter { it.id == host(index) }.forEach { host ->
        repeat(3) { fleet.attempt(host, acme) }
        fleet.attempt(host, tiny)
        fleet.attempt(host, large, holdMs = fleet.random.nextLong(1, 9_900))
        fleet.attempt(host, small, holdMs = fleet.random.nextLong(1, 2_000))
    }

    private fun fail(
        fleet: FakeFleet,
        random: Random,
    ) {
        val host = fleet.host(random.nextInt(1, 8))
        when (random.nextInt(8)) {
            0 -> fleet.freeze(host, random.nextLong(100, 3_000))
            1 -> fleet.freeze(host, random.nextLong(3_000, 12_000))
            2 -> fleet.restart(host, isZombie = random.nextBoolean())
            3 -> cutOff(fleet, host, random.nextLong(500, 9_000))
            4 -> {
                fleet.evicted += host.id
                fleet.freeze(host, random.nextLong(100, 9_000))
            }
            5 -> fleet.edit(specs.filter { it.id != acme }, maxDelayMs = 1_000)
            6 -> fleet.edit(specs, maxDelayMs = 1_000)
            7 -> fleet.edit(limits { rate(acme.value, 50.0, 10.0) } + specs.drop(1), maxDelayMs = 500)
        }
    }

    private fun cutOff(
        fleet: FakeFleet,
        host: FakeHost,
        durationMs: Long,
    ) {
        host.isCutOff = true
        fleet.at(fleet.nowMs + durationMs) { host.isCutOff = false }
    }

    private fun violations(fleet: FakeFleet): List<String> =
        specs.flatMap { spec ->
            val units = fleet.worstUnits.getValue(spec.id)
            listOfNotNull(
                "$units units of ${spec.id} of ${spec.totalUnits} in use".takeIf { units > spec.totalUnits },
                when (spec) {
                    is LimitSpec.Rate -> rateViolation(fleet, spec)
                    is LimitSpec.Slots -> slotViolation(fleet, spec)
                },
            )
        }

    private fun rateViolation(
        fleet: FakeFleet,
        spec: LimitSpec.Rate,
    ): String? {
        val checker = WindowChecker(spec.ratePerS * (1 + DRIFT), spec.burst)
        fleet.takes[spec.id].orEmpty().forEach { (atMs, amount) -> checker.take(atMs, amount) }
        return "${spec.id} passed its burst by ${checker.worstExcess}".takeIf { checker.worstExcess > TOLERANCE }
    }

    private fun slotViolation(
        fleet: FakeFleet,
        spec: LimitSpec.Slots,
    ): String? {
        val worst = fleet.worstInFlight[spec.id] ?: 0
        return "$worst slots of ${spec.id} of ${spec.slots} in use".takeIf { worst > spec.slots }
    }

    private companion object {
        const val SEEDS = 200
        const val DURATION_MS = 40_000L
        const val DRIFT = 0.01

        /** Tokens by which rounding of clocks to milliseconds may pass the bound. */
        const val TOLERANCE = 0.2
    }
}
