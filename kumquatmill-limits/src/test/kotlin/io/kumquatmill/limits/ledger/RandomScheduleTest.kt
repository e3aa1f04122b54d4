package io.kumquatmill.limits.ledger

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Tests all kinds of failures together under random load, on seeded schedules. */
class RandomScheduleTest {
    private val acme = LimitId("rate/acme")
    private val tinyRate = LimitId("rate/tiny")
    private val largeSlots = LimitId("slots/large")
    private val smallSlots = LimitId("slots/small")
    private val specs =
        limits {
            rate(acme.value, ratePerS = 100.0, burst = 40.0)
            rate(tinyRate.value, ratePerS = 5.0, burst = 3.0)
            slots(largeSlots.value, 14)
            slots(smallSlots.value, 3)
        }

    @Test
    fun `no schedule of failures exceeds a limit`() {
        var taken = 0
        for (seed in 1..SEEDS) {
            val fleet = run(seed)
            taken += fleet.takes.values.sumOf { it.size }
            fleet.violations(specs, DRIFT).let { assertTrue(it.isEmpty(), "seed $seed: $it") }
        }
        assertTrue(taken > SEEDS * 1_000, "the schedules took only $taken tokens")
    }

    @Test
    fun `after the last failure one host can again get the whole rate and all slots`() {
        for (seed in 1..RECOVERY_SEEDS) {
            val fleet = run(seed)
            recover(fleet)
            val index = 1 + seed % 7
            fleet.every(10) {
                fleet.attempt(fleet.host(index), acme)
                fleet.attempt(fleet.host(index), largeSlots, holdMs = 1_000)
            }
            fleet.runUntil(fleet.nowMs + 5_000)
            val before = fleet.count(acme)
            fleet.runUntil(fleet.nowMs + 5_000)
            assertTrue(fleet.count(acme) - before >= 475, "seed $seed: ${fleet.count(acme) - before} taken of 500 in 5 s")
            assertTrue(
                fleet.units(fleet.host(index), largeSlots) == 14L,
                "seed $seed: ${fleet.units(fleet.host(index), largeSlots)} of 14 slots",
            )
        }
    }

    /** Stops all failures and load, and waits until the roster has settled and the longest requests have ended. */
    private fun recover(fleet: FakeFleet) {
        fleet.faultsEnabled = false
        fleet.network = FakeNetwork()
        fleet.updateLimits(specs, maxDelayMs = 100)
        fleet.runUntil(fleet.nowMs + 45_000)
    }

    @Test
    fun `the schedules reveal each safeguard that is disabled`() {
        val weakenedSafeguards =
            listOf(
                Safeguards(requireStanding = false),
                Safeguards(countLoanFromRequest = false),
                Safeguards(checkVersions = false),
                Safeguards(startEmpty = false),
                Safeguards(useSmallerBaseUnits = false),
            )
        for (safeguards in weakenedSafeguards) {
            val seed = (1..SEEDS).firstOrNull { run(it, safeguards).violations(specs, DRIFT).isNotEmpty() }
            println("$safeguards: seed $seed")
            assertNotNull(seed, "no schedule shows a violation with $safeguards")
        }
    }

    private fun run(
        seed: Int,
        safeguards: Safeguards = Safeguards(),
    ): FakeFleet {
        val random = Random(seed)
        val network =
            FakeNetwork(
                maxDelayMs = random.nextLong(2, 120),
                lossProbability = random.nextDouble(0.15),
                duplicateProbability = random.nextDouble(0.2),
                stragglerProbability = random.nextDouble(0.1),
            )
        val fleet = FakeFleet(SEVEN_MEMBERS, specs, seed = seed, network = network, maxDrift = DRIFT, safeguards = safeguards)
        val loadedHosts = mutableSetOf(1, 2)
        fleet.every(20) { if (fleet.faultsEnabled) loadedHosts.forEach { load(fleet, it) } }
        fleet.every(3_000) {
            loadedHosts.clear()
            repeat(random.nextInt(1, 4)) { loadedHosts += random.nextInt(1, 8) }
        }
        fleet.every(2_500) { if (fleet.faultsEnabled) injectFault(fleet, random) }
        fleet.runUntil(DURATION_MS)
        return fleet
    }

    private fun load(
        fleet: FakeFleet,
        index: Int,
    ) = fleet.processes.filter { it.id == host(index) }.forEach { host ->
        repeat(3) { fleet.attempt(host, acme) }
        fleet.attempt(host, tinyRate)
        fleet.attempt(host, largeSlots, holdMs = fleet.random.nextLong(1, 9_900))
        fleet.attempt(host, smallSlots, holdMs = fleet.random.nextLong(1, 2_000))
    }

    private fun injectFault(
        fleet: FakeFleet,
        random: Random,
    ) {
        val host = fleet.host(random.nextInt(1, 8))
        when (random.nextInt(8)) {
            0 -> fleet.pause(host, random.nextLong(100, 3_000))
            1 -> fleet.pause(host, random.nextLong(3_000, 12_000))
            2 -> fleet.restart(host, isZombie = random.nextBoolean())
            3 -> partition(fleet, host, random.nextLong(500, 9_000))
            4 -> {
                fleet.evicted += host.id
                fleet.pause(host, random.nextLong(100, 9_000))
            }
            5 -> fleet.updateLimits(specs.filter { it.id != acme }, maxDelayMs = 1_000)
            6 -> fleet.updateLimits(specs, maxDelayMs = 1_000)
            7 -> fleet.updateLimits(limits { rate(acme.value, 50.0, 10.0) } + specs.drop(1), maxDelayMs = 500)
        }
    }

    private fun partition(
        fleet: FakeFleet,
        host: FakeHost,
        durationMs: Long,
    ) {
        host.isPartitioned = true
        fleet.at(fleet.nowMs + durationMs) { host.isPartitioned = false }
    }

    private companion object {
        const val SEEDS = 200
        const val RECOVERY_SEEDS = 20
        const val DURATION_MS = 40_000L
        const val DRIFT = 0.01
    }
}
