package io.kumquatmill.limits.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ShareLedgerTest {
    private val acme = LimitId("rate/acme")
    private val worker = LimitId("slots/worker-1")
    private val specs =
        limits {
            rate(acme.value, ratePerS = 100.0, burst = 71.0)
            slots(worker.value, 14)
        }
    private val settings = LedgerSettings(jitterGuardMs = 0)

    private fun ledger(specs: List<LimitSpec> = this.specs) = ShareLedger(host(1), settings, specs)

    @Test
    fun `a ledger without standing gives nothing`() {
        val ledger = ledger()
        assertIs<TakeResult.Short>(ledger.tryTake(0, acme))
        assertEquals(0, ledger.units(0, acme))
    }

    @Test
    fun `a new ledger starts without tokens and fills at its part of the rate`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN).validUntil(100_000))
        assertEquals(0, ledger.takeAll(0, acme), "tokens at the start")
        assertEquals(10, ledger.takeAll(60_000, acme), "tokens of a full bucket")
    }

    @Test
    fun `a clock that reads negative times works`() {
        val ledger = ledger()
        ledger.onStanding(-100_000, settled(SEVEN).validUntil(0))
        assertEquals(10, ledger.takeAll(-40_000, acme), "tokens of a full bucket")
    }

    @Test
    fun `nothing may be taken after standing has lapsed, and the time without it brings no tokens`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN).validUntil(4_000))
        assertEquals(10, ledger.takeAll(3_999, acme))
        assertIs<TakeResult.Short>(ledger.tryTake(4_000, acme))
        ledger.onStanding(10_000, settled(SEVEN).validUntil(14_000))
        assertEquals(0, ledger.takeAll(10_000, acme), "tokens after standing came back")
    }

    @Test
    fun `slots gained by a roster count only when all earlier requests are over`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN).validUntil(100_000))
        ledger.onTick(9_999)
        assertEquals(0, ledger.takeAll(9_999, worker), "slots before the longest request")
        ledger.onTick(10_250)
        assertEquals(2, ledger.takeAll(10_250, worker), "slots after the longest request")
        ledger.release(10_251, worker)
        assertEquals(1, ledger.takeAll(10_251, worker), "slots after a release")
    }

    @Test
    fun `a prepared roster gives the smaller of the old and new units and a settled one the new units`() {
        val ledger = ledger()
        val five = SEVEN.take(5)
        ledger.onStanding(0, settled(five, epoch = 1).validUntil(100_000))
        assertEquals(200_000, ledger.units(0, acme))
        ledger.onStanding(1, prepared(SEVEN, five, epoch = 2).validUntil(100_000))
        assertEquals(anchorUnits(SEVEN, specs[0], settings)[host(1)], ledger.units(1, acme))
        ledger.onStanding(2, settled(SEVEN, epoch = 2).validUntil(100_000))
        ledger.onStanding(3, prepared(five, SEVEN, epoch = 3).validUntil(100_000))
        assertEquals(anchorUnits(SEVEN, specs[0], settings)[host(1)], ledger.units(3, acme))
        ledger.onStanding(4, settled(five, epoch = 3).validUntil(100_000))
        assertEquals(200_000, ledger.units(4, acme))
    }

    @Test
    fun `units gained by a roster, a skipped epoch or a new incarnation bring no tokens`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN, epoch = 1).validUntil(100_000))
        ledger.onStanding(60_000, settled(SEVEN, epoch = 3).validUntil(100_000))
        assertEquals(0, ledger.takeAll(60_000, acme), "tokens after a skipped epoch")
        val reborn = listOf(member(1, incarnation = 2)) + SEVEN.drop(1)
        ledger.onStanding(90_000, prepared(reborn, SEVEN, epoch = 4).validUntil(100_000))
        assertEquals(0, ledger.units(90_000, acme), "units of a new incarnation before its roster is settled")
        ledger.onStanding(91_000, settled(reborn, epoch = 4).validUntil(100_000))
        assertEquals(0, ledger.takeAll(91_000, acme), "tokens of a new incarnation")
    }

    @Test
    fun `an edit of the plan scales the bucket in place and a plan set again starts without tokens`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN).validUntil(200_000))
        ledger.isAvailable(60_000, acme)
        ledger.onLimits(60_000, limits { rate(acme.value, ratePerS = 100.0, burst = 35.5) })
        assertEquals(5, ledger.takeAll(60_000, acme), "tokens after the burst was halved")
        ledger.isAvailable(100_000, acme)
        ledger.onLimits(100_000, emptyList())
        assertIs<TakeResult.Short>(ledger.tryTake(100_000, acme))
        ledger.onLimits(100_001, specs)
        assertEquals(0, ledger.takeAll(100_001, acme), "tokens of a plan that was set again")
    }

    @Test
    fun `bytes charged beyond the bucket delay the next take`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN).validUntil(100_000))
        ledger.charge(60_000, acme, 20)
        val short = assertIs<TakeResult.Short>(ledger.tryTake(60_000, acme))
        val part = ledger.units(60_000, acme) / 1e6
        val missing = 1 - (71 * part - 20)
        assertEquals(missing / (100 * part) * 1000, short.retryAfterMs.toDouble(), 1.0)
    }
}
