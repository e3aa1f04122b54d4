package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.membership.roster.firstRoster
import io.kumquatmill.membership.roster.preparedChangeTo
import io.kumquatmill.membership.testMember
import io.kumquatmill.membership.testMembers
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RosterDocumentTest {
    private val members = testMembers(5)
    private val restarted = testMember("entry-1", incarnation = 7)
    private val newMembers = members.drop(2) + restarted + testMember("new")
    private val change = firstRoster(members, 5).preparedChangeTo(newMembers, members[0].host, 5)

    @Test
    fun `a prepared change contains the previous and the new members`() {
        val view = change.toView()
        assertEquals(newMembers.toSet(), view.members.toSet())
        assertEquals(members.toSet(), view.previousMembers.toSet())
        assertEquals(2L to RosterPhase.PREPARED, view.epoch to view.phase)
    }

    @Test
    fun `a settled change is newer than the prepared one and has no previous members`() {
        val settled = change.settled()
        assertTrue(settled.version > change.version)
        assertEquals(emptyList(), settled.toView().previousMembers)
    }

    @Test
    fun `a roster is equal after encoding and decoding`() {
        assertEquals(change, decodeRoster(encodeRoster(change)))
        assertEquals(null, decodeRoster("""{"epoch":1}"""))
    }

    @Test
    fun `a roster of 450 members fits into one store value`() {
        val sizeBytes = encodeRoster(firstRoster(testMembers(450), 5)).length
        assertTrue(sizeBytes < 50_000, "expected less than 50000, got $sizeBytes bytes")
    }
}
