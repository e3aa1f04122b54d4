package io.kumquatmill.limits.ledger

import io.kumquatmill.limits.bucket.TokenBucket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares the fraction of a limit that callers can use with that of a fixed share of one seventh per host. */
class BaselineTest {
    private val acme = LimitId("rate/acme")
    private val worker = LimitId("slots/worker-1")
    private val rate = LimitSpec.Rate(acme, ratePerS = 200.0, burst = 100.0)

    private fun fleet(vararg specs: LimitSpec) = FakeFleet(SEVEN_MEMBERS, specs.toList(), settings = LedgerSettings())

    /** Sends twice the rate to each of [hosts]. Returns the fraction of the rate used by each, over ten seconds after [warmUpMs]. */
    private fun usedFractions(
        fleet: FakeFleet,
        warmUpMs: Long,
        hosts: List<Int>,
    ): List<Double> {
        fleet.runUntil(20_000)
        val counts = hosts.associateWith { 0 }.toMutableMap()
        fleet.every(5) {
            hosts.forEach { index ->
                repeat(2) {
                    val isTaken = fleet.attempt(fleet.host(index), acme)
                    if (isTaken && fleet.nowMs > 20_000 + warmUpMs) counts.merge(index, 1, Int::plus)
                }
            }
        }
        fleet.runUntil(30_000 + warmUpMs)
        return hosts.map { counts.getValue(it) / (rate.ratePerS * 10) }
    }

    /** Sends the same load to a bucket with a seventh of the rate and burst. Returns the fraction of the whole rate used. */
    private fun usedFractionOfFixedSeventh(): Double {
        val bucket = TokenBucket(rate.ratePerS / 7, rate.burst / 7, nowMs = 0)
        val taken = (22_000L..32_000L step 5).sumOf { nowMs -> (1..2).count { bucket.tryTake(nowMs, 1.0) } }
        return taken / (rate.ratePerS * 10)
    }

    @Test
    fun `callers that all use one host get the whole rate within two seconds, not a seventh`() {
        val usedFraction = usedFractions(fleet(rate), warmUpMs = 2_000, hosts = listOf(1)).single()
        val fixedFraction = usedFractionOfFixedSeventh()
        println(
            "used by callers on one of 7 hosts: %.1f %% of the rate by the ledger, %.1f %% by a fixed seventh".format(
                usedFraction * 100,
                fixedFraction * 100,
            ),
        )
        assertTrue(usedFraction >= 0.95, "fraction of the rate used: $usedFraction")
        assertTrue(fixedFraction < 0.2, "fraction of the rate used by a fixed seventh: $fixedFraction")
    }

    @Test
    fun `two hosts with more demand than the rate end up with even shares`() {
        val used = usedFractions(fleet(rate), warmUpMs = 3_000, hosts = listOf(1, 2))
        assertTrue(used.sum() >= 0.95 && used.all { it in 0.45..0.55 }, "fractions of the rate used: $used")
    }

    @Test
    fun `one host can use a small burst as a whole`() {
        val smallBurst = LimitSpec.Rate(acme, ratePerS = 2.0, burst = 3.0)
        val fleet = fleet(smallBurst)
        fleet.runUntil(20_000)
        fleet.attempt(fleet.host(1), acme)
        fleet.runUntil(20_400)
        val taken = generateSequence { fleet.attempt(fleet.host(1), acme) }.takeWhile { it }.count()
        assertEquals(2, taken, "tokens taken at once of a burst of three, less the jitter guard")
    }

    @Test
    fun `a host with demand gets all three slots of a worker within a second`() {
        val fleet = fleet(LimitSpec.Slots(worker, 3))
        fleet.runUntil(20_000)
        fleet.every(50) { fleet.attempt(fleet.host(1), worker, holdMs = 5_000) }
        fleet.runUntil(21_000)
        assertEquals(3, fleet.inFlight[worker], "slots in use by one host of seven")
    }
}
