package io.kumquatmill.membership

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.FleetOptions
import io.kumquatmill.membership.fake.assertConverged
import io.kumquatmill.membership.fake.assertNoViolations
import io.kumquatmill.membership.fake.zapad
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.membership.record.MembershipKeys
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.record.decodeRoster
import io.kumquatmill.membership.standing.EpochTracker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RosterChangeTest {
    private val defaultSettings = MembershipSettings(storeRegion = zapad)

    private val FakeFleet.roster: RosterDocument
        get() = decodeRoster(store.entry(MembershipKeys.ROSTER)!!.value)!!

    private fun FakeFleet.runUntil(
        limitMs: Long,
        condition: () -> Boolean,
    ) {
        val endMs = nowMs + limitMs
        while (!condition() && nowMs < endMs) run(10)
        assertTrue(condition(), "expected within $limitMs ms, roster is $roster")
    }

    /**
     * Evicts all hosts outside the store's region, which have lost the store.
     *
     * The only trace of the new epoch that reaches them is the notice that they receive as witnesses.
     */
    private fun evictPartitionedHosts(
        settings: MembershipSettings = defaultSettings,
        options: FleetOptions = FleetOptions(),
    ): FakeFleet {
        val settingsEvictingLiveHosts = settings.copy(peerAliveTimeoutMs = 0)
        val fleet = FakeFleet(seed = 6, settings = settingsEvictingLiveHosts, options = options).start()
        val isInStoreRegion = { host: HostId -> fleet.host(host).region == zapad }
        fleet.faults.hostsWithoutStore += fleet.hosts.map { it.id }.filterNot(isInStoreRegion)
        fleet.faults.deliversMessage = { from, to, message -> isInStoreRegion(from) == isInStoreRegion(to) || mayCrossPartition(message) }
        fleet.run(30_000)
        assertEquals(2L to RosterPhase.SETTLED, fleet.roster.epoch to fleet.roster.phase)
        return fleet
    }

    private fun mayCrossPartition(message: MembershipMessage): Boolean =
        when (message) {
            is MembershipMessage.StandingRequest -> message.epoch <= 1
            is MembershipMessage.StandingReply -> message.highestEpoch <= 1
            is MembershipMessage.RosterNotice, is MembershipMessage.RosterAck -> true
            else -> false
        }

    @Test
    fun `a host that loses only the store stays a member while it replies to its peers`() {
        assertEquals(1L, epochAfterOneHostLosesStore(defaultSettings), "epoch of the roster")
        assertEquals(
            2L,
            epochAfterOneHostLosesStore(defaultSettings.copy(peerAliveTimeoutMs = 0)),
            "epoch of the roster when replies do not count",
        )
    }

    private fun epochAfterOneHostLosesStore(settings: MembershipSettings): Long {
        val fleet = FakeFleet(seed = 6, settings = settings).start()
        fleet.faults.hostsWithoutStore += fleet.hosts.last().id
        fleet.run(30_000)
        fleet.assertNoViolations()
        return fleet.roster.epoch
    }

    @Test
    fun `a change is settled only after all standing under the previous epoch has expired`() {
        evictPartitionedHosts().assertNoViolations()
    }

    @Test
    fun `without the settle wait two epochs are in use at the same time`() {
        val fleet = evictPartitionedHosts(defaultSettings.copy(clockDriftMarginMs = -defaultSettings.standingMs))
        assertTrue(fleet.invariants.violations.isNotEmpty(), "expected violations without the settle wait")
    }

    @Test
    fun `with witnesses that forget epochs two epochs are in use at the same time`() {
        val forgetfulWitnesses = FleetOptions(newEpochTracker = { ForgetfulEpochTracker() })
        val fleet = evictPartitionedHosts(options = forgetfulWitnesses)
        assertTrue(fleet.invariants.violations.isNotEmpty(), "expected violations with witnesses that forget epochs")
    }

    @Test
    fun `another member settles a change whose proposer has died`() {
        val fleet = FakeFleet(seed = 7).start()
        fleet.hosts.last().kill()
        fleet.runUntil(limitMs = 8_000) { fleet.roster.phase == RosterPhase.PREPARED }
        fleet.host(fleet.roster.proposer!!).kill()
        fleet.runUntil(limitMs = 9_000) { fleet.roster.phase == RosterPhase.SETTLED }
        fleet.run(15_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `a proposer that resumes late does not undo the change of another host`() {
        val fleet = FakeFleet(seed = 8).start()
        fleet.hosts.last().kill()
        fleet.runUntil(limitMs = 8_000) { fleet.roster.phase == RosterPhase.PREPARED }
        val proposer = fleet.host(fleet.roster.proposer!!)
        proposer.freeze()
        fleet.run(20_000)
        proposer.unfreeze()
        fleet.run(15_000)
        fleet.assertConverged()
        fleet.assertNoViolations()
    }

    @Test
    fun `concurrent proposers make only one change`() {
        val fleet = FakeFleet(seed = 9, settings = defaultSettings.copy(proposerRankDelayMs = 0)).start()
        fleet.hosts.last().kill()
        fleet.run(12_000)
        fleet.assertConverged()
        assertEquals(2L, fleet.roster.epoch)
        fleet.assertNoViolations()
    }

    @Test
    fun `lost store replies delay a change but neither prevent nor repeat it`() {
        repeat(20) { seed ->
            val fleet = FakeFleet(seed).start()
            fleet.faults.storeReplyLossRate = 0.3
            fleet.hosts.last().kill()
            fleet.run(40_000)
            fleet.faults.heal()
            fleet.run(30_000)
            fleet.assertConverged("seed $seed:")
            fleet.assertNoViolations()
        }
    }
}

/** Votes for every epoch, as a witness that forgets the highest epoch would. */
private class ForgetfulEpochTracker : EpochTracker() {
    override fun votesFor(epoch: Long): Boolean = true
}
