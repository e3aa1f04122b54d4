package io.kumquatmill.membership.standing

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.record.Witness
import kotlin.test.Test
import kotlin.test.assertEquals

class StandingTrackerTest {
    private val memory = WitnessMemory()
    private val tracker = StandingTracker(HostId("self"), memory)
    private val witnesses = listOf("a", "b", "c").map { Witness(HostId(it), Incarnation(1)) }
    private val selfIncarnation = Incarnation(5)

    init {
        tracker.follow(newEpoch = 1, witnesses)
    }

    private fun vouch(
        name: String,
        sentAtMs: Long,
        incarnation: Long = 1,
        epoch: Long = 1,
    ) = tracker.onVouched(HostId(name), Incarnation(incarnation), epoch, sentAtMs)

    private fun evidenceMs() = tracker.evidenceMs(nowMs = 1_000, selfIncarnation)

    @Test
    fun `standing counts from the question that completed a majority`() {
        vouch("a", sentAtMs = 100)
        assertEquals(null, evidenceMs())
        vouch("b", sentAtMs = 300)
        assertEquals(100, evidenceMs())
        vouch("c", sentAtMs = 200)
        assertEquals(200, evidenceMs())
    }

    @Test
    fun `other hosts, incarnations and epochs do not count`() {
        vouch("a", sentAtMs = 100)
        vouch("x", sentAtMs = 100)
        vouch("b", sentAtMs = 100, incarnation = 2)
        vouch("c", sentAtMs = 100, epoch = 2)
        assertEquals(null, evidenceMs())
    }

    @Test
    fun `a new epoch needs new evidence`() {
        tracker.onStoreEvidence(atEpoch = 1, sentAtMs = 500)
        assertEquals(500, evidenceMs())
        tracker.follow(newEpoch = 2, witnesses)
        assertEquals(null, evidenceMs())
        tracker.onStoreEvidence(atEpoch = 1, sentAtMs = 600)
        assertEquals(null, evidenceMs())
    }

    @Test
    fun `a host that is a witness counts itself until it hears of a higher epoch`() {
        tracker.follow(newEpoch = 2, witnesses + Witness(HostId("self"), selfIncarnation) + Witness(HostId("d"), Incarnation(1)))
        vouch("a", sentAtMs = 100, epoch = 2)
        vouch("b", sentAtMs = 200, epoch = 2)
        assertEquals(100, evidenceMs())
        memory.hear(3)
        assertEquals(null, evidenceMs())
    }

    @Test
    fun `relayed votes count from the question less their age`() {
        tracker.onRelayedVotes(atEpoch = 1, sentAtMs = 900, agesMs = listOf(100, null, 300))
        assertEquals(600, evidenceMs())
        assertEquals(listOf<Long?>(200, null, 400), tracker.voteAgesToRelay(nowMs = 1_000, atEpoch = 1, maxAgeMs = 4_000))
    }
}
