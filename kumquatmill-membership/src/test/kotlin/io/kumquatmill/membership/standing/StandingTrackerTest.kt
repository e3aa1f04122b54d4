package io.kumquatmill.membership.standing

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.record.Witness
import kotlin.test.Test
import kotlin.test.assertEquals

class StandingTrackerTest {
    private val epochTracker = EpochTracker()
    private val standingTracker = StandingTracker(HostId("self"), epochTracker)
    private val witnesses = listOf("a", "b", "c").map { Witness(HostId(it), Incarnation(1)) }
    private val selfIncarnation = Incarnation(5)

    init {
        standingTracker.startEpoch(newEpoch = 1, witnesses)
    }

    private fun vote(
        name: String,
        sentAtMs: Long,
        incarnation: Long = 1,
        epoch: Long = 1,
    ) = standingTracker.onVote(HostId(name), Incarnation(incarnation), epoch, sentAtMs)

    private fun lastConfirmedAtMs() = standingTracker.lastConfirmedAtMs(nowMs = 1_000, selfIncarnation)

    @Test
    fun `standing counts from the oldest request of the latest majority of votes`() {
        vote("a", sentAtMs = 100)
        assertEquals(null, lastConfirmedAtMs())
        vote("b", sentAtMs = 300)
        assertEquals(100, lastConfirmedAtMs())
        vote("c", sentAtMs = 200)
        assertEquals(200, lastConfirmedAtMs())
    }

    @Test
    fun `votes of other hosts, incarnations and epochs do not count`() {
        vote("a", sentAtMs = 100)
        vote("x", sentAtMs = 100)
        vote("b", sentAtMs = 100, incarnation = 2)
        vote("c", sentAtMs = 100, epoch = 2)
        assertEquals(null, lastConfirmedAtMs())
    }

    @Test
    fun `a new epoch needs a new confirmation`() {
        standingTracker.onStoreConfirmation(atEpoch = 1, sentAtMs = 500)
        assertEquals(500, lastConfirmedAtMs())
        standingTracker.startEpoch(newEpoch = 2, witnesses)
        assertEquals(null, lastConfirmedAtMs())
        standingTracker.onStoreConfirmation(atEpoch = 1, sentAtMs = 600)
        assertEquals(null, lastConfirmedAtMs())
    }

    @Test
    fun `a host that is a witness counts its own vote until it observes a higher epoch`() {
        standingTracker.startEpoch(
            newEpoch = 2,
            witnesses + Witness(HostId("self"), selfIncarnation) + Witness(HostId("d"), Incarnation(1)),
        )
        vote("a", sentAtMs = 100, epoch = 2)
        vote("b", sentAtMs = 200, epoch = 2)
        assertEquals(100, lastConfirmedAtMs())
        epochTracker.observe(3)
        assertEquals(null, lastConfirmedAtMs())
    }

    @Test
    fun `relayed votes count from the send time of the request minus their age`() {
        standingTracker.onRelayedVotes(atEpoch = 1, sentAtMs = 900, agesMs = listOf(100, null, 300))
        assertEquals(600, lastConfirmedAtMs())
        assertEquals(listOf<Long?>(200, null, 400), standingTracker.voteAgesToRelay(nowMs = 1_000, atEpoch = 1, maxAgeMs = 4_000))
    }
}
