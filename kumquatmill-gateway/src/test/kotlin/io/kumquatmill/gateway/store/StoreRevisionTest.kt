package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class StoreRevisionTest {
    @Test
    fun `a revision of a later era is higher whatever its number is`() {
        assertTrue(revisionIn(era = 2, number = 1) > revisionIn(era = 1, number = 1L shl 40))
        assertEquals(7, eraOf(revisionIn(era = 7, number = 52)))
        assertEquals(52, numberOf(revisionIn(era = 7, number = 52)))
        assertEquals(52, revisionIn(era = StoreEraTracker.NO_ERA, number = 52))
        assertTrue(revisionIn(StoreEraTracker.MAX_ERA, (1L shl 48) - 1) > 0)
    }

    @Test
    fun `a revision that is negative or too high is rejected`() {
        listOf(-1L, 1L shl 48, Long.MAX_VALUE, Long.MIN_VALUE).forEach { number ->
            assertFailsWith<IllegalArgumentException> { StoreReply.Written(number).inEra(1) }
        }
    }

    @Test
    fun `the store gets numbers, and what it answers gets the era`() {
        val revision = revisionIn(3, 9)
        assertEquals(StoreCall.Watch("", 9, 100), StoreCall.Watch("", revision, 100).withNumbers())
        assertEquals(StoreCall.CompareAndSwap("k", 9, "v"), StoreCall.CompareAndSwap("k", revision, "v").withNumbers())
        assertEquals(StoreCall.Delete("k", 9), StoreCall.Delete("k", revision).withNumbers())
        val entry = StoreEntry("k", "v", 9)
        val restored = entry.copy(revision = revision)
        assertEquals(StoreReply.Entries(listOf(restored), revision), StoreReply.Entries(listOf(entry), 9).inEra(3))
        val change = StoreChange("k", null, 9)
        assertEquals(StoreReply.Changes(listOf(change.copy(revision = revision)), revision), StoreReply.Changes(listOf(change), 9).inEra(3))
        assertEquals(StoreError.Conflict(restored), StoreError.Conflict(entry).inEra(3))
    }
}
