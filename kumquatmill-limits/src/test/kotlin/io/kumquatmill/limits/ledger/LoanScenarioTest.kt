package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.Incarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/**
 * Tests single failures of the loan protocol. Where a safeguard prevents a violation, the test also disables the safeguard and
 * expects the violation.
 */
class LoanScenarioTest {
    private val acme = LimitId("rate/acme")
    private val worker = LimitId("slots/worker-1")
    private val rate = LimitSpec.Rate(acme, ratePerS = 20.0, burst = 200.0)
    private val slots = LimitSpec.Slots(worker, 7)
    private val settings = LedgerSettings(jitterGuardMs = 0)

    private fun fleet(
        safeguards: Safeguards = Safeguards(),
        roster: FakeRoster = FakeRoster(SEVEN_MEMBERS),
        settings: LedgerSettings = this.settings,
    ) = FakeFleet(SEVEN_MEMBERS, listOf(rate, slots), settings, roster = roster, safeguards = safeguards)

    private fun FakeFleet.generateLoad(vararg indices: Int) =
        every(20) {
            processes.filter { process -> indices.any { host(it).id == process.id } }.forEach { process ->
                repeat(20) { attempt(process, acme) }
                repeat(7) { attempt(process, worker, holdMs = 9_000) }
            }
        }

    private fun assertWithinLimits(fleet: FakeFleet) = assertEquals(emptyList(), fleet.violations(listOf(rate, slots)))

    private fun assertLimitExceeded(fleet: FakeFleet) = assertNotEquals(emptyList(), fleet.violations(listOf(rate, slots)))

    @Test
    fun `a paused lender that resumes after its eviction takes no tokens of units that others hold by then`() {
        fun run(safeguards: Safeguards) =
            fleet(safeguards).apply {
                runUntil(20_000)
                evicted += host(1).id
                pause(host(1), 12_000)
                generateLoad(1, 2)
                runUntil(40_000)
            }
        assertWithinLimits(run(Safeguards()))
        assertLimitExceeded(run(Safeguards(requireStanding = false)))
    }

    @Test
    fun `a paused borrower has lost its loans when it resumes, and the lenders have their units back`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.generateLoad(1)
        fleet.runUntil(25_000)
        assertTrue(fleet.units(fleet.host(1), acme) > 900_000, "units before: ${fleet.units(fleet.host(1), acme)}")
        fleet.pause(fleet.host(1), 6_000)
        fleet.runUntil(30_990)
        assertTrue((2..7).sumOf { fleet.units(fleet.host(it), acme) } > 800_000, "units of the lenders while the borrower is paused")
        fleet.runUntil(31_000)
        assertTrue(fleet.units(fleet.host(1), acme) < 150_000, "units after resuming: ${fleet.units(fleet.host(1), acme)}")
        fleet.runUntil(40_000)
        assertWithinLimits(fleet)
    }

    @Test
    fun `the duration of a delayed grant counts from the request`() {
        fun run(safeguards: Safeguards) =
            fleet(safeguards).apply {
                runUntil(20_000)
                extraDelayMs = { if (it is LedgerMessage.LoanGrant) 3_900 else 0 }
                generateLoad(1)
                runUntil(22_000)
                dropIf = { true }
                generateLoad(2, 3, 4, 5, 6, 7)
                runUntil(40_000)
            }
        assertWithinLimits(run(Safeguards()))
        assertLimitExceeded(run(Safeguards(countLoanFromRequest = false)))
    }

    @Test
    fun `units of a lost grant are unusable only until the loan would have ended`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.dropIf = { it is LedgerMessage.LoanGrant || it is LedgerMessage.LoanRenewal }
        fleet.attempt(fleet.host(1), acme)
        fleet.runUntil(21_000)
        val lost = 1_000_000 - (1..7).sumOf { fleet.units(fleet.host(it), acme) }
        assertTrue(lost > 0, "units lost with the grants: $lost")
        fleet.runUntil(30_000)
        assertEquals(1_000_000, (1..7).sumOf { fleet.units(fleet.host(it), acme) }, "units after the loans have ended")
    }

    @Test
    fun `a duplicate grant that arrives after the units were returned changes nothing`() {
        fun run(safeguards: Safeguards) =
            fleet(safeguards).apply {
                runUntil(20_000)
                network = FakeNetwork(duplicateProbability = 1.0)
                var copies = 0
                extraDelayMs = { if (it is LedgerMessage.LoanGrant && copies++ % 2 == 1) 1_500 else 0 }
                generateLoad(1)
                at(21_000) { send(host(1), host(1).ledger.prepareToLeave(host(1).localMs(nowMs))) }
                every(10) { (2..7).forEach { attempt(host(it), acme) } }
                runUntil(26_000)
            }
        assertWithinLimits(run(Safeguards()))
        assertLimitExceeded(run(Safeguards(checkVersions = false)))
    }

    @Test
    fun `a return that crosses a new grant does not reduce the new loan`() {
        val loan = LentLoan(LoanCommitment(version = 1, units = 50, validUntilMs = 4_000), maxHoldMs = 0)
        loan.replace(1_000, LoanCommitment(version = 2, units = 30, validUntilMs = 5_000))
        assertEquals(0, loan.reduce(version = 1, keptUnits = 0), "units freed")
        assertEquals(30, loan.committedUnits(1_000))
    }

    @Test
    fun `superseded terms that the borrower may still hold remain reserved until they end`() {
        val loan = LentLoan(LoanCommitment(version = 1, units = 50, validUntilMs = 4_000), maxHoldMs = 0)
        loan.replace(1_000, LoanCommitment(version = 2, units = 30, validUntilMs = 5_000))
        assertEquals(listOf(50L, 50L, 30L, 0L), listOf(1_000L, 3_999L, 4_000L, 5_000L).map(loan::committedUnits))
    }

    @Test
    fun `a request may outlast the loan of its slot without exceeding the limit`() {
        fun run(ledgerMaxRequestDurationMs: Long) =
            fleet(settings = settings.copy(maxRequestDurationMs = ledgerMaxRequestDurationMs)).apply {
                runUntil(20_000)
                generateLoad(1)
                runUntil(22_000)
                host(1).isPartitioned = true
                generateLoad(2, 3, 4, 5, 6, 7)
                runUntil(40_000)
            }
        assertWithinLimits(run(ledgerMaxRequestDurationMs = 10_000))
        assertLimitExceeded(run(ledgerMaxRequestDurationMs = 0))
    }

    @Test
    fun `a restarted host whose old process is still running does not double its units`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.generateLoad(1, 2)
        fleet.runUntil(22_000)
        fleet.restart(fleet.host(1), isZombie = true)
        fleet.runUntil(45_000)
        assertWithinLimits(fleet)
        assertTrue(fleet.units(fleet.host(1), acme) > 400_000, "units of the new process: ${fleet.units(fleet.host(1), acme)}")
    }

    @Test
    fun `a message addressed to an earlier incarnation is ignored`() {
        fun unitsAfterStaleReturn(safeguards: Safeguards): Long {
            val restarted = SEVEN_MEMBERS.drop(1) + member(1, incarnation = 2)
            val lender = ShareLedger(host(1), settings, listOf(rate), nowMs = 0, onLoanEvent = {}, safeguards)
            lender.onStanding(0, settled(restarted).validUntil(60_000))
            val sends = lender.onMessage(1, host(2), Incarnation(1), request(nonce = 1, units = 1_000_000))
            val terms =
                sends
                    .map { it.message }
                    .filterIsInstance<LedgerMessage.LoanGrant>()
                    .single()
                    .terms
                    .single()
            lender.onMessage(2, host(2), Incarnation(1), request(nonce = 2, units = 0))
            val staleReturn = LedgerMessage.LoanReturn(Incarnation(1), listOf(ReturnedLoan(acme, terms.version, 0, 0)))
            lender.onMessage(2, host(2), Incarnation(1), staleReturn)
            return lender.units(2, acme)
        }
        assertEquals(0, unitsAfterStaleReturn(Safeguards()))
        assertNotEquals(0, unitsAfterStaleReturn(Safeguards(checkIncarnations = false)))
    }

    private fun request(
        nonce: Long,
        units: Long,
    ) = LedgerMessage.LoanRequest(Incarnation(2), nonce, listOf(LoanNeed(acme, units)))

    @Test
    fun `plan changes during loans never allow more than the larger plan`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.generateLoad(1, 2)
        for (step in 1L..8L) {
            val smaller = LimitSpec.Rate(acme, ratePerS = 10.0, burst = 30.0)
            val edited = listOf(listOf(slots), listOf(rate, slots), listOf(smaller, slots))[(step % 3).toInt()]
            fleet.at(20_000 + step * 1_300) { fleet.updateLimits(edited, maxDelayMs = 1_000) }
        }
        fleet.runUntil(45_000)
        assertWithinLimits(fleet)
    }

    @Test
    fun `a host that learns late of a roster change takes no tokens of units that others have gained`() {
        fun run(
            safeguards: Safeguards,
            settleAfterMs: Long,
        ) = fleet(safeguards, FakeRoster(SEVEN_MEMBERS, settleAfterMs)).apply {
            generateLoad(1, 2, 3)
            runUntil(20_000)
            host(1).isPartitioned = true
            evicted += host(1).id
            runUntil(26_000)
            host(1).isPartitioned = false
            runUntil(45_000)
        }
        assertWithinLimits(run(Safeguards(), settleAfterMs = FakeRoster.STANDING_DURATION_MS + 500))
        assertLimitExceeded(run(Safeguards(), settleAfterMs = 0))
        assertLimitExceeded(run(Safeguards(useSmallerBaseUnits = false), settleAfterMs = FakeRoster.STANDING_DURATION_MS + 500))
    }

    @Test
    fun `a host in debt returns units that another host needs`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.generateLoad(1)
        fleet.runUntil(22_000)
        fleet.host(1).run { ledger.charge(localMs(fleet.nowMs), acme, 10_000) }
        fleet.generateLoad(2)
        fleet.runUntil(25_000)
        assertTrue(fleet.units(fleet.host(2), acme) > 400_000, "units: ${fleet.units(fleet.host(2), acme)}")
    }

    @Test
    fun `a leaving host returns its loans and lends all its base units`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.generateLoad(1, 2)
        fleet.runUntil(24_000)
        val leaving = fleet.host(1)
        fleet.send(leaving, leaving.ledger.prepareToLeave(leaving.localMs(fleet.nowMs)))
        fleet.runUntil(25_000)
        assertEquals(0, fleet.units(leaving, acme), "units of the leaving host")
        assertTrue(fleet.units(fleet.host(2), acme) > 990_000, "units of the other host: ${fleet.units(fleet.host(2), acme)}")
        assertWithinLimits(fleet)
    }
}
