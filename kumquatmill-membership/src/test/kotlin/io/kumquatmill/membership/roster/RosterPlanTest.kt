package io.kumquatmill.membership.roster

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.HostRecordState
import io.kumquatmill.membership.store.DecodedEntry
import io.kumquatmill.membership.testMember
import io.kumquatmill.store.LeaseId
import kotlin.test.Test
import kotlin.test.assertEquals

class RosterPlanTest {
    private val first = testMember("a")
    private val second = testMember("b")

    private fun recordsOf(
        vararg members: Member,
        state: HostRecordState = HostRecordState.LIVE,
    ): Map<HostId, DecodedEntry<HostRecord>> =
        members.associate { it.host to DecodedEntry(HostRecord(it, state, LeaseId(1)), revision = 1) }

    @Test
    fun `members without a record stay until they may be evicted`() {
        assertEquals(listOf(first, second), plannedMembers(listOf(first, second), recordsOf(first)) { false })
        assertEquals(listOf(first), plannedMembers(listOf(first, second), recordsOf(first)) { true })
    }

    @Test
    fun `a newer incarnation replaces the older one`() {
        val restarted = first.copy(incarnation = testMember("a", incarnation = 9).incarnation)
        assertEquals(listOf(restarted), plannedMembers(listOf(first), recordsOf(restarted)) { true })
        assertEquals(listOf(restarted), plannedMembers(listOf(restarted), recordsOf(first)) { true })
    }

    @Test
    fun `live hosts join and leaving hosts do not`() {
        assertEquals(listOf(first, second), plannedMembers(listOf(second), recordsOf(first, second)) { true })
        assertEquals(emptyList(), plannedMembers(emptyList(), recordsOf(first, state = HostRecordState.LEAVING)) { true })
    }

    @Test
    fun `a leaving member stays until its record is removed`() {
        assertEquals(listOf(first), plannedMembers(listOf(first), recordsOf(first, state = HostRecordState.LEAVING)) { true })
    }
}
