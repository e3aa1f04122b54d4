package io.kumquatmill.membership.store

import arrow.core.left
import arrow.core.right
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.fake.StoreResult
import io.kumquatmill.membership.fake.zapad
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreWatcherTest {
    private val settings = MembershipSettings(storeRegion = zapad)
    private val watcher = StoreWatcher(settings, Random(1)) { 7 }
    private val allEntries = StoreReply.Entries(emptyList(), revision = 5).right()

    private fun tick(nowMs: Long): StoreCall? {
        val out = OutputBuilder()
        watcher.onTick(nowMs, out)
        return out.build().storeCalls.singleOrNull()
    }

    /** Sends the call that is due at [nowMs], if any, and completes it with [result] at once. */
    private fun tickAndReply(
        nowMs: Long,
        result: StoreResult,
    ): StoreCall? = tick(nowMs)?.also { watcher.onReply(nowMs, nowMs, it, result) }

    @Test
    fun `it reads all keys once and then watches from that revision`() {
        assertEquals(StoreCall.ReadPrefix(""), tickAndReply(0, allEntries))
        assertEquals(StoreCall.Watch("", afterRevision = 5, waitMs = 1_000), tick(1_000))
    }

    @Test
    fun `it makes one call per renew period however often the store changes`() {
        tickAndReply(0, allEntries)
        val calls =
            (1L..10_000L).count { nowMs ->
                val changes = listOf(StoreChange("other", "$nowMs", 5 + nowMs))
                tickAndReply(nowMs, StoreReply.Changes(changes, 5 + nowMs).right()) != null
            }
        assertEquals(10, calls)
    }

    @Test
    fun `it reads all keys again when the store rejects its revision`() {
        tickAndReply(0, allEntries)
        tickAndReply(1_000, StoreError.Rejected("compacted").left())
        assertEquals(StoreCall.ReadPrefix(""), tick(10_000))
    }

    @Test
    fun `it retries with growing delays while the store is down`() {
        val attemptTimesMs = (0L..60_000L).filter { tickAndReply(it, StoreError.Unavailable("down").left()) != null }
        val gapsMs = attemptTimesMs.zipWithNext { one, next -> next - one }
        assertTrue(gapsMs.first() <= settings.minReconnectDelayMs, "$gapsMs")
        assertTrue(gapsMs.drop(5).all { it in settings.maxReconnectDelayMs / 2..settings.maxReconnectDelayMs }, "$gapsMs")
    }

    @Test
    fun `a call without a reply counts as a failure after its timeout`() {
        tickAndReply(0, allEntries)
        tick(1_000)
        assertTrue(watcher.isUp)
        tick(1_000 + 1_000 + settings.storeCallTimeoutMs)
        assertTrue(!watcher.isUp, "expected the store to count as unresponsive")
    }

    @Test
    fun `changes that are already known are not reported again`() {
        tickAndReply(0, allEntries)
        val old = StoreChange("config/lists", "old", 4)
        val new = StoreChange("config/lists", "new", 6)
        val call = tick(1_000)!!
        val reply = StoreReply.Changes(listOf(old, new), 6).right()
        assertEquals(listOf(new), watcher.onReply(1_010, 1_000, call, reply))
        assertEquals(emptyList(), watcher.onReply(1_020, 1_000, call, reply))
    }
}
