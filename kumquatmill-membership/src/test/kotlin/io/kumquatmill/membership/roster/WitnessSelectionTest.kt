package io.kumquatmill.membership.roster

import io.kumquatmill.membership.testMembers
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WitnessSelectionTest {
    @Test
    fun `no region has a majority of the witnesses`() {
        val members = testMembers(30)
        val regions = members.associate { it.host to it.region }
        val byRegion = selectWitnesses(members, maxCount = 5).groupingBy { regions.getValue(it.host) }.eachCount()
        assertEquals(listOf(1, 2, 2), byRegion.values.sorted())
    }

    @Test
    fun `the number of witnesses is odd and at most the number of members`() {
        val counts = (0..7).map { selectWitnesses(testMembers(it), maxCount = 5).size }
        assertEquals(listOf(0, 1, 1, 3, 3, 5, 5, 5), counts)
    }

    @Test
    fun `removing one member changes at most one witness`() {
        val members = testMembers(30)
        val witnessesBefore = selectWitnesses(members, maxCount = 5).toSet()
        members.forEach { removed ->
            val kept = selectWitnesses(members - removed, maxCount = 5).toSet() intersect witnessesBefore
            assertTrue(kept.size >= 4, "without ${removed.host}: kept $kept of $witnessesBefore")
        }
    }
}
