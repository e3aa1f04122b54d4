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
    fun `a ledger without standing denies every take`() {
        val ledger = ledger()
        assertIs<TakeResult.Denied>(ledger.tryTake(0, acme))
        assertEquals(0, ledger.units(0, acme))
    }

    @Test
    fun `a new ledger starts without tokens and refills at its share of the rate`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS).validUntil(100_000))
        assertEquals(0, ledger.takeAll(0, acme), "tokens at the start")
        assertEquals(10, ledger.takeAll(60_000, acme), "tokens of a full bucket")
    }

    @Test
    fun `negative clock times are supported`() {
        val ledger = ledger()
        ledger.onStanding(-100_000, settled(SEVEN_MEMBERS).validUntil(0))
        assertEquals(10, ledger.takeAll(-40_000, acme), "tokens of a full bucket")
    }

    @Test
    fun `no tokens can be taken after standing has expired, and none accrue without it`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS).validUntil(4_000))
        assertEquals(10, ledger.takeAll(3_999, acme))
        assertIs<TakeResult.Denied>(ledger.tryTake(4_000, acme))
        ledger.onStanding(10_000, settled(SEVEN_MEMBERS).validUntil(14_000))
        assertEquals(0, ledger.takeAll(10_000, acme), "tokens after standing was regained")
    }

    @Test
    fun `slots of the first roster take effect immediately`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS, epoch = 1).validUntil(100_000))
        assertEquals(2, ledger.takeAll(0, worker))
    }

    @Test
    fun `slots gained with a roster take effect only when all earlier requests have ended`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS, epoch = 2).validUntil(100_000))
        ledger.onTick(9_999)
        assertEquals(0, ledger.takeAll(9_999, worker), "slots before the longest request has ended")
        ledger.onTick(10_250)
        assertEquals(2, ledger.takeAll(10_250, worker), "slots after the longest request has ended")
        ledger.release(10_251, worker)
        assertEquals(1, ledger.takeAll(10_251, worker), "slots after a release")
    }

    @Test
    fun `a prepared roster assigns the smaller of the old and new units and a settled one the new units`() {
        val ledger = ledger()
        val fiveMembers = SEVEN_MEMBERS.take(5)
        ledger.onStanding(0, settled(fiveMembers, epoch = 1).validUntil(100_000))
        assertEquals(200_000, ledger.units(0, acme))
        ledger.onStanding(1, prepared(SEVEN_MEMBERS, fiveMembers, epoch = 2).validUntil(100_000))
        assertEquals(allocateBaseUnits(SEVEN_MEMBERS, specs[0], settings)[host(1)], ledger.units(1, acme))
        ledger.onStanding(2, settled(SEVEN_MEMBERS, epoch = 2).validUntil(100_000))
        ledger.onStanding(3, prepared(fiveMembers, SEVEN_MEMBERS, epoch = 3).validUntil(100_000))
        assertEquals(allocateBaseUnits(SEVEN_MEMBERS, specs[0], settings)[host(1)], ledger.units(3, acme))
        ledger.onStanding(4, settled(fiveMembers, epoch = 3).validUntil(100_000))
        assertEquals(200_000, ledger.units(4, acme))
    }

    @Test
    fun `units gained with a roster, after a skipped epoch or by a new incarnation come without tokens`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS, epoch = 1).validUntil(100_000))
        ledger.onStanding(60_000, settled(SEVEN_MEMBERS, epoch = 3).validUntil(100_000))
        assertEquals(0, ledger.takeAll(60_000, acme), "tokens after a skipped epoch")
        val restarted = listOf(member(1, incarnation = 2)) + SEVEN_MEMBERS.drop(1)
        ledger.onStanding(90_000, prepared(restarted, SEVEN_MEMBERS, epoch = 4).validUntil(100_000))
        assertEquals(0, ledger.units(90_000, acme), "units of a new incarnation before its roster is settled")
        ledger.onStanding(91_000, settled(restarted, epoch = 4).validUntil(100_000))
        assertEquals(0, ledger.takeAll(91_000, acme), "tokens of a new incarnation")
    }

    @Test
    fun `a plan change rescales the bucket in place and a limit that is removed and added again starts without tokens`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS).validUntil(200_000))
        ledger.isAvailable(60_000, acme)
        ledger.onLimits(60_000, limits { rate(acme.value, ratePerS = 100.0, burst = 35.5) })
        assertEquals(5, ledger.takeAll(60_000, acme), "tokens after the burst was halved")
        ledger.isAvailable(100_000, acme)
        ledger.onLimits(100_000, emptyList())
        assertIs<TakeResult.Denied>(ledger.tryTake(100_000, acme))
        ledger.onLimits(100_001, specs)
        assertEquals(0, ledger.takeAll(100_001, acme), "tokens of a limit that was removed and added again")
    }

    @Test
    fun `bytes charged beyond the bucket level delay the next take`() {
        val ledger = ledger()
        ledger.onStanding(0, settled(SEVEN_MEMBERS).validUntil(100_000))
        ledger.charge(60_000, acme, 20)
        val denied = assertIs<TakeResult.Denied>(ledger.tryTake(60_000, acme))
        val fraction = ledger.units(60_000, acme) / 1e6
        val missing = 1 - (71 * fraction - 20)
        assertEquals(missing / (100 * fraction) * 1000, denied.retryAfterMs.toDouble(), 1.0)
    }
}
