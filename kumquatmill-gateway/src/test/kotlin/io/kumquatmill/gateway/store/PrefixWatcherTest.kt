package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class PrefixWatcherTest {
    private class PendingCall(
        val call: StoreCall,
        val onResult: (Either<StoreError, StoreReply>) -> Unit,
    )

    private val pendingCalls = ArrayDeque<PendingCall>()
    private val scheduledTasks = ArrayDeque<Pair<Long, () -> Unit>>()
    private val events = ArrayList<String>()
    private var failsOnChanges = false
    private val watcher =
        PrefixWatcher(
            prefix = "p/",
            send = { call, onResult -> pendingCalls.addLast(PendingCall(call, onResult)) },
            runAfter = { delayMs, task -> scheduledTasks.addLast(delayMs to task) },
            listener =
                object : StoreListener {
                    override fun onSnapshot(
                        prefix: String,
                        entries: List<StoreEntry>,
                        revision: Long,
                    ) {
                        events += "snapshot ${entries.map { it.key }} at $revision"
                    }

                    override fun onChanges(changes: List<StoreChange>) {
                        check(!failsOnChanges) { "handling changes fails" }
                        events += "changes ${changes.map { it.key }}"
                    }

                    override fun onAsked() = Unit

                    override fun onAnswered() = Unit

                    override fun onFailure(
                        prefix: String,
                        error: StoreError,
                        failures: Int,
                    ) {
                        events += "failure $failures"
                    }

                    override fun onRecovery(
                        prefix: String,
                        failures: Int,
                    ) {
                        events += "recovery"
                    }
                },
            random = Random(1),
            batchDelayMs = { 300 },
            schedule = StoreCallSchedule(recoveryMs = 4_000),
        )

    private fun reply(reply: StoreReply) = pendingCalls.removeFirst().onResult(reply.right())

    private fun fail(error: StoreError) = pendingCalls.removeFirst().onResult(error.left())

    private fun entry(
        key: String,
        revision: Long = 1,
    ) = StoreEntry(key, "v", revision)

    @Test
    fun `a watcher reads all pages and then watches from the revision of the first page`() {
        watcher.start()
        reply(StoreReply.Entries(listOf(entry("p/a")), 7, hasMore = true))
        assertEquals(StoreCall.ReadPrefix("p/", "p/a"), pendingCalls.first().call)
        reply(StoreReply.Entries(listOf(entry("p/b")), 9))
        assertEquals(listOf("snapshot [p/a, p/b] at 7"), events)
        assertEquals(7, assertIs<StoreCall.Watch>(pendingCalls.first().call).afterRevision)
    }

    @Test
    fun `each watch continues from the revision of the previous response`() {
        watcher.start()
        reply(StoreReply.Entries(emptyList(), 7))
        reply(StoreReply.Changes(listOf(StoreChange("p/a", "v", 9)), 9))
        scheduledTasks.removeFirst().second()
        assertEquals(9, assertIs<StoreCall.Watch>(pendingCalls.first().call).afterRevision)
        reply(StoreReply.Changes(emptyList(), 12))
        assertEquals(12, assertIs<StoreCall.Watch>(pendingCalls.first().call).afterRevision)
    }

    @Test
    fun `a watcher reads a new snapshot when the store has compacted its history`() {
        watcher.start()
        reply(StoreReply.Entries(emptyList(), 7))
        fail(StoreError.HistoryGone(7))
        assertIs<StoreCall.ReadPrefix>(pendingCalls.first().call)
        reply(StoreReply.Entries(listOf(entry("p/c")), 30))
        assertEquals("snapshot [p/c] at 30", events.last())
        assertEquals(30, assertIs<StoreCall.Watch>(pendingCalls.first().call).afterRevision)
    }

    @Test
    fun `a watcher reads a new snapshot and watches on when handling a change fails`() {
        watcher.start()
        reply(StoreReply.Entries(emptyList(), 7))
        failsOnChanges = true
        reply(StoreReply.Changes(listOf(StoreChange("p/a", "v", 9)), 9))
        scheduledTasks.removeFirst().second()
        assertIs<StoreCall.ReadPrefix>(pendingCalls.first().call)
        failsOnChanges = false
        reply(StoreReply.Entries(listOf(entry("p/a", 9)), 9))
        assertEquals("snapshot [p/a] at 9", events.last())
        assertEquals(9, assertIs<StoreCall.Watch>(pendingCalls.first().call).afterRevision)
    }

    @Test
    fun `failed calls are retried with bounded backoff`() {
        watcher.start()
        val backoffsMs =
            (1..8).map {
                fail(StoreError.Unavailable("store down"))
                scheduledTasks.removeFirst().also { (_, task) -> task() }.first
            }
        assertTrue(backoffsMs.first() <= 100, "expected a first backoff of at most 100 ms, found $backoffsMs")
        assertTrue(backoffsMs.all { it in 50..800 }, "expected backoffs of 50 to 800 ms, found $backoffsMs")
        reply(StoreReply.Entries(emptyList(), 3))
        assertEquals(listOf("recovery", "snapshot [] at 3"), events.takeLast(2))
    }

    @Test
    fun `a watch after a failure is short so that a lost call does not delay recovery after the outage`() {
        watcher.start()
        reply(StoreReply.Entries(emptyList(), 7))
        val usualWaitMs = assertIs<StoreCall.Watch>(pendingCalls.first().call).waitMs
        fail(StoreError.Unknown("no response"))
        scheduledTasks.removeFirst().second()
        val probeWaitMs = assertIs<StoreCall.Watch>(pendingCalls.first().call).waitMs
        assertTrue(probeWaitMs <= 500, "expected a watch of at most 500 ms, found $probeWaitMs ms")
        reply(StoreReply.Changes(emptyList(), 7))
        assertEquals(usualWaitMs, assertIs<StoreCall.Watch>(pendingCalls.first().call).waitMs)
    }

    @Test
    fun `a snapshot is read again if the store came back from a copy and gave out the watched revision again`() {
        watcher.start()
        reply(StoreReply.Entries(emptyList(), revisionIn(1, 7)))
        reply(StoreReply.Changes(listOf(StoreChange("p/a", "v", revisionIn(2, 9))), revisionIn(2, 9)))
        assertEquals(StoreCall.ReadPrefix("p/"), pendingCalls.single().call)
        reply(StoreReply.Entries(listOf(entry("p/b", revisionIn(2, 6))), revisionIn(2, 9)))
        assertEquals(listOf("snapshot [] at ${revisionIn(1, 7)}", "snapshot [p/b] at ${revisionIn(2, 9)}"), events)
        assertEquals(revisionIn(2, 9), assertIs<StoreCall.Watch>(pendingCalls.single().call).afterRevision)
    }

    @Test
    fun `a snapshot whose pages are from before and after a restore is read again`() {
        watcher.start()
        reply(StoreReply.Entries(listOf(entry("p/a")), revisionIn(1, 7), hasMore = true))
        reply(StoreReply.Entries(listOf(entry("p/b")), revisionIn(2, 6)))
        assertEquals(emptyList(), events)
        assertEquals(StoreCall.ReadPrefix("p/"), pendingCalls.single().call)
    }
}
