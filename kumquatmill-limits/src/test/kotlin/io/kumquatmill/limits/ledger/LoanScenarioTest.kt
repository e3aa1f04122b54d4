package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.Incarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Single failures of the loan protocol, each with the mechanism that bears it switched off where there is one. */
class LoanScenarioTest {
    private val acme = LimitId("rate/acme")
    private val worker = LimitId("slots/worker-1")
    private val rate = LimitSpec.Rate(acme, ratePerS = 20.0, burst = 200.0)
    private val slots = LimitSpec.Slots(worker, 7)
    private val settings = LedgerSettings(jitterGuardMs = 0)

    private fun fleet(
        safeguards: Safeguards = Safeguards(),
        roster: FakeRoster = FakeRoster(SEVEN),
        settings: LedgerSettings = this.settings,
    ) = FakeFleet(SEVEN, listOf(rate, slots), settings, roster = roster, safeguards = safeguards)

    private fun FakeFleet.hungry(vararg indices: Int) =
        every(20) {
            processes.filter { process -> indices.any { host(it).id == process.id } }.forEach { process ->
                repeat(20) { attempt(process, acme) }
                repeat(7) { attempt(process, worker, holdMs = 9_000) }
            }
        }

    private fun assertKept(fleet: FakeFleet) = assertEquals(emptyList(), fleet.violations(listOf(rate, slots)))

    private fun assertBroken(fleet: FakeFleet) = assertNotEquals(emptyList(), fleet.violations(listOf(rate, slots)))

    @Test
    fun `a frozen lender that wakes after its eviction spends nothing of what others have by then`() {
        fun run(safeguards: Safeguards) =
            fleet(safeguards).apply {
                runUntil(20_000)
                evicted += host(1).id
                freeze(host(1), 12_000)
                hungry(1, 2)
                runUntil(40_000)
            }
        assertKept(run(Safeguards()))
        assertBroken(run(Safeguards(requireStanding = false)))
    }

    @Test
    fun `a frozen borrower that wakes has lost its loans, and the lenders have their units back`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.hungry(1)
        fleet.runUntil(25_000)
        assertTrue(fleet.units(fleet.host(1), acme) > 900_000, "units before: ${fleet.units(fleet.host(1), acme)}")
        fleet.freeze(fleet.host(1), 6_000)
        fleet.runUntil(30_990)
        assertTrue((2..7).sumOf { fleet.units(fleet.host(it), acme) } > 800_000, "units of the lenders while the borrower is frozen")
        fleet.runUntil(31_000)
        assertTrue(fleet.units(fleet.host(1), acme) < 150_000, "units on waking: ${fleet.units(fleet.host(1), acme)}")
        fleet.runUntil(40_000)
        assertKept(fleet)
    }

    @Test
    fun `a grant that comes late gives only the time that is left since the request`() {
        fun run(safeguards: Safeguards) =
            fleet(safeguards).apply {
                runUntil(20_000)
                extraDelayMs = { if (it is LedgerMessage.LoanGrant) 3_900 else 0 }
                hungry(1)
                runUntil(22_000)
                dropIf = { true }
                hungry(2, 3, 4, 5, 6, 7)
                runUntil(40_000)
            }
        assertKept(run(Safeguards()))
        assertBroken(run(Safeguards(countLoanFromRequest = false)))
    }

    @Test
    fun `a lost grant loses its units only until the loan would have ended`() {
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
    fun `a repeated grant that arrives after the units were returned changes nothing`() {
        fun run(safeguards: Safeguards) =
            fleet(safeguards).apply {
                runUntil(20_000)
                network = FakeNetwork(duplicatePart = 1.0)
                var copies = 0
                extraDelayMs = { if (it is LedgerMessage.LoanGrant && copies++ % 2 == 1) 1_500 else 0 }
                hungry(1)
                at(21_000) { send(host(1), host(1).ledger.handOver(host(1).localMs(nowMs))) }
                every(10) { (2..7).forEach { attempt(host(it), acme) } }
                runUntil(26_000)
            }
        assertKept(run(Safeguards()))
        assertBroken(run(Safeguards(checkVersions = false)))
    }

    @Test
    fun `a return that is overtaken by a new grant does not reduce the new loan`() {
        val loan = LentLoan(Promise(version = 1, units = 50, untilMs = 4_000), tailMs = 0)
        loan.replace(1_000, Promise(version = 2, units = 30, untilMs = 5_000))
        assertEquals(0, loan.reduce(version = 1, keptUnits = 0), "units freed")
        assertEquals(30, loan.committedUnits(1_000))
    }

    @Test
    fun `terms that may still be held count until they are over`() {
        val loan = LentLoan(Promise(version = 1, units = 50, untilMs = 4_000), tailMs = 0)
        loan.replace(1_000, Promise(version = 2, units = 30, untilMs = 5_000))
        assertEquals(listOf(50L, 50L, 30L, 0L), listOf(1_000L, 3_999L, 4_000L, 5_000L).map(loan::committedUnits))
    }

    @Test
    fun `a request may outlast the loan of its slot`() {
        fun run(ledgerMaxRequestMs: Long) =
            fleet(settings = settings.copy(maxRequestMs = ledgerMaxRequestMs)).apply {
                runUntil(20_000)
                hungry(1)
                runUntil(22_000)
                host(1).isCutOff = true
                hungry(2, 3, 4, 5, 6, 7)
                runUntil(40_000)
            }
        assertKept(run(ledgerMaxRequestMs = 10_000))
        assertBroken(run(ledgerMaxRequestMs = 0))
    }

    @Test
    fun `a restarted host whose old process still runs does not double its units`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.hungry(1, 2)
        fleet.runUntil(22_000)
        fleet.restart(fleet.host(1), isZombie = true)
        fleet.runUntil(45_000)
        assertKept(fleet)
        assertTrue(fleet.units(fleet.host(1), acme) > 400_000, "units of the new process: ${fleet.units(fleet.host(1), acme)}")
    }

    @Test
    fun `a message meant for an earlier incarnation is ignored`() {
        fun unitsAfterOldReturn(safeguards: Safeguards): Long {
            val reborn = SEVEN.drop(1) + member(1, incarnation = 2)
            val lender = ShareLedger(host(1), settings, listOf(rate), nowMs = 0, onChange = {}, safeguards)
            lender.onStanding(0, settled(reborn).validUntil(60_000))
            val sends = lender.onMessage(1, host(2), Incarnation(1), request(nonce = 1, units = 1_000_000))
            val terms =
                sends
                    .map { it.message }
                    .filterIsInstance<LedgerMessage.LoanGrant>()
                    .single()
                    .terms
                    .single()
            lender.onMessage(2, host(2), Incarnation(1), request(nonce = 2, units = 0))
            val old = LedgerMessage.LoanReturn(Incarnation(1), listOf(ReturnedLoan(acme, terms.version, 0, 0)))
            lender.onMessage(2, host(2), Incarnation(1), old)
            return lender.units(2, acme)
        }
        assertEquals(0, unitsAfterOldReturn(Safeguards()))
        assertNotEquals(0, unitsAfterOldReturn(Safeguards(checkIncarnations = false)))
    }

    private fun request(
        nonce: Long,
        units: Long,
    ) = LedgerMessage.LoanRequest(Incarnation(2), nonce, listOf(LoanNeed(acme, units)))

    @Test
    fun `edits of the plan in the middle of loans keep the larger of both plans`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.hungry(1, 2)
        for (step in 1L..8L) {
            val smaller = LimitSpec.Rate(acme, ratePerS = 10.0, burst = 30.0)
            val edited = listOf(listOf(slots), listOf(rate, slots), listOf(smaller, slots))[(step % 3).toInt()]
            fleet.at(20_000 + step * 1_300) { fleet.edit(edited, maxDelayMs = 1_000) }
        }
        fleet.runUntil(45_000)
        assertKept(fleet)
    }

    @Test
    fun `a host late to learn of a roster change spends nothing that others have gained`() {
        fun run(
            safeguards: Safeguards,
            settleAfterMs: Long,
        ) = fleet(safeguards, FakeRoster(SEVEN, settleAfterMs)).apply {
            hungry(1, 2, 3)
            runUntil(20_000)
            host(1).isCutOff = true
            evicted += host(1).id
            runUntil(26_000)
            host(1).isCutOff = false
            runUntil(45_000)
        }
        assertKept(run(Safeguards(), settleAfterMs = FakeRoster.STANDING_MS + 500))
        assertBroken(run(Safeguards(), settleAfterMs = 0))
        assertBroken(run(Safeguards(takeSmallerAnchor = false), settleAfterMs = FakeRoster.STANDING_MS + 500))
    }

    @Test
    fun `a host in debt gives back what another host needs`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.hungry(1)
        fleet.runUntil(22_000)
        fleet.host(1).run { ledger.charge(localMs(fleet.nowMs), acme, 10_000) }
        fleet.hungry(2)
        fleet.runUntil(25_000)
        assertTrue(fleet.units(fleet.host(2), acme) > 400_000, "units: ${fleet.units(fleet.host(2), acme)}")
    }

    @Test
    fun `a leaving host gives back its loans and lends all of its own`() {
        val fleet = fleet()
        fleet.runUntil(20_000)
        fleet.hungry(1, 2)
        fleet.runUntil(24_000)
        val leaving = fleet.host(1)
        fleet.send(leaving, leaving.ledger.handOver(leaving.localMs(fleet.nowMs)))
        fleet.runUntil(25_000)
        assertEquals(0, fleet.units(leaving, acme), "units of the leaving host")
        assertTrue(fleet.units(fleet.host(2), acme) > 990_000, "units of the other: ${fleet.units(fleet.host(2), acme)}")
        assertKept(fleet)
    }
}
