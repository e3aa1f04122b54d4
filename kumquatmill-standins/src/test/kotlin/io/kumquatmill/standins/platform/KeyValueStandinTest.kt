package io.kumquatmill.standins.platform

import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreCallKind
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class KeyValueStandinTest {
    private val store = KeyValueStandin(maxValueBytes = 10, changeLogCapacity = 3)

    private fun write(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId? = null,
        nowMs: Long = 0,
    ) = store.execute(nowMs, StoreCall.CompareAndSwap(key, expectedRevision, value, lease))

    private fun read(
        key: String,
        nowMs: Long = 0,
    ): StoreEntry? = assertIs<StoreReply.Entry>(store.execute(nowMs, StoreCall.Read(key)).getOrNull()).entry

    private fun grant(ttlMs: Long): LeaseId =
        assertIs<StoreReply.LeaseGranted>(store.execute(0, StoreCall.GrantLease(ttlMs)).getOrNull()).lease

    @Test
    fun `the second of two writes that expect the same revision conflicts`() {
        assertEquals(StoreReply.Written(1), write("a", 0, "first").getOrNull())
        assertEquals(StoreError.Conflict(StoreEntry("a", "first", 1)), write("a", 0, "second").leftOrNull())
        assertEquals("first", read("a")?.value)
    }

    @Test
    fun `writes and deletions are reported as changes in order`() {
        write("a/x", 0, "1")
        write("b", 0, "2")
        store.execute(0, StoreCall.Delete("a/x", 1))
        assertEquals(listOf(StoreChange("a/x", "1", 1), StoreChange("a/x", null, 3)), store.changesAfter("a/", 0))
        assertEquals(listOf(StoreChange("a/x", null, 3)), store.changesAfter("a/", 1))
    }

    @Test
    fun `entries are removed when their lease expires without renewal`() {
        val lease = grant(ttlMs = 100)
        write("a", 0, "1", lease)
        store.execute(90, StoreCall.RenewLease(lease))
        assertEquals("1", read("a", nowMs = 189)?.value)
        assertEquals(null, read("a", nowMs = 190))
        assertEquals(StoreError.LeaseGone(lease), store.execute(191, StoreCall.RenewLease(lease)).leftOrNull())
        assertEquals(StoreError.LeaseGone(lease), write("a", 0, "2", lease, nowMs = 191).leftOrNull())
    }

    @Test
    fun `a value above the maximum size is rejected`() {
        assertIs<StoreError.Rejected>(write("a", 0, "12345678901").leftOrNull())
        assertEquals(null, read("a"))
    }

    @Test
    fun `a write takes effect even if its response is lost`() {
        store.loseNextWriteResponses()
        assertIs<StoreError.Unknown>(write("a", 0, "1").leftOrNull())
        assertEquals("1", read("a")?.value)
        assertEquals(StoreReply.Written(2), write("a", 1, "2").getOrNull())
    }

    @Test
    fun `nothing is written while the service is down or unresponsive`() {
        store.faults = StoreFaults(isDown = true)
        assertIs<StoreError.Unavailable>(write("a", 0, "1").leftOrNull())
        store.faults = StoreFaults(isSilent = true)
        assertIs<StoreError.Unknown>(write("a", 0, "1").leftOrNull())
        store.faults = StoreFaults()
        assertEquals(null, read("a"))
    }

    @Test
    fun `a watch is rejected if it starts before the retained changes`() {
        (1..4).forEach { write("k$it", 0, "v") }
        assertIs<StoreError.Rejected>(store.execute(0, StoreCall.Watch("k", 0, 0)).leftOrNull())
        val changes = assertIs<StoreReply.Changes>(store.execute(0, StoreCall.Watch("k", 1, 0)).getOrNull())
        assertEquals(listOf("k2", "k3", "k4"), changes.changes.map { it.key })
    }

    @Test
    fun `calls above the rate limit fail until the one-second window has passed`() {
        store.faults = StoreFaults(maxWritesPerS = 2)
        val results = listOf(0L, 1L, 2L, 1_002L).mapIndexed { index, nowMs -> write("k$index", 0, "v", nowMs = nowMs) }
        assertEquals(listOf(true, true, false, true), results.map { it.isRight() })
        assertEquals(null, read("k2"))
    }

    @Test
    fun `every call is counted by kind, including failed calls`() {
        write("a", 0, "1")
        store.faults = StoreFaults(isDown = true)
        write("a", 1, "2")
        store.execute(0, StoreCall.Watch("a", 0, 1_000))
        assertEquals(mapOf(StoreCallKind.COMPARE_AND_SWAP to 2L, StoreCallKind.WATCH to 1L), store.callCounts)
    }
}
