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
    private class Sent(
        val call: StoreCall,
        val end: (Either<StoreError, StoreReply>) -> Unit,
    )

    private val sent = ArrayDeque<Sent>()
    private val later = ArrayDeque<Pair<Long, () -> Unit>>()
    private val told = ArrayList<String>()
    private val follower =
        PrefixWatcher(
            prefix = "p/",
            send = { call, end -> sent.addLast(Sent(call, end)) },
            runAfter = { delayMs, task -> later.addLast(delayMs to task) },
            listener =
                object : StoreListener {
                    override fun onSnapshot(
                        prefix: String,
                        entries: List<StoreEntry>,
                        revision: Long,
                    ) {
                        told += "snapshot ${entries.map { it.key }} at $revision"
                    }

                    override fun onChanges(changes: List<StoreChange>) {
                        told += "changes ${changes.map { it.key }}"
                    }

                    override fun onFailure(
                        prefix: String,
                        error: StoreError,
                        failures: Int,
                    ) {
                        told += "failure $failures"
                    }

                    override fun onRecovery(
                        prefix: String,
                        failures: Int,
                    ) {
                        told += "recovery"
                    }
                },
            random = Random(1),
        )

    private fun answer(reply: StoreReply) = sent.removeFirst().end(reply.right())

    private fun fail(error: StoreError) = sent.removeFirst().end(error.left())

    private fun entry(
        key: String,
        revision: Long = 1,
    ) = StoreEntry(key, "v", revision)

    @Test
    fun `it reads all pages and watches from the revision of the first`() {
        follower.start()
        answer(StoreReply.Entries(listOf(entry("p/a")), 7, hasMore = true))
        assertEquals(StoreCall.ReadPrefix("p/", "p/a"), sent.first().call)
        answer(StoreReply.Entries(listOf(entry("p/b")), 9))
        assertEquals(listOf("snapshot [p/a, p/b] at 7"), told)
        assertEquals(7, assertIs<StoreCall.Watch>(sent.first().call).afterRevision)
    }

    @Test
    fun `it goes on from the revision of each answer`() {
        follower.start()
        answer(StoreReply.Entries(emptyList(), 7))
        answer(StoreReply.Changes(listOf(StoreChange("p/a", "v", 9)), 9))
        later.removeFirst().second()
        assertEquals(9, assertIs<StoreCall.Watch>(sent.first().call).afterRevision)
        answer(StoreReply.Changes(emptyList(), 12))
        assertEquals(12, assertIs<StoreCall.Watch>(sent.first().call).afterRevision)
    }

    @Test
    fun `it reads all again when history is gone`() {
        follower.start()
        answer(StoreReply.Entries(emptyList(), 7))
        fail(StoreError.HistoryGone(7))
        assertIs<StoreCall.ReadPrefix>(sent.first().call)
        answer(StoreReply.Entries(listOf(entry("p/c")), 30))
        assertEquals("snapshot [p/c] at 30", told.last())
        assertEquals(30, assertIs<StoreCall.Watch>(sent.first().call).afterRevision)
    }

    @Test
    fun `it tries again after pauses that grow and stay bounded`() {
        follower.start()
        val pauses =
            (1..8).map {
                fail(StoreError.Unavailable("away"))
                later.removeFirst().also { (_, task) -> task() }.first
            }
        assertTrue(pauses.first() <= 100, "expected a short first pause, found $pauses")
        assertTrue(pauses.all { it in 50..800 }, "expected pauses of 50 to 800 ms, found $pauses")
        answer(StoreReply.Entries(emptyList(), 3))
        assertEquals(listOf("recovery", "snapshot [] at 3"), told.takeLast(2))
    }

    @Test
    fun `a watch that follows a failure is short, so that one lost in an outage does not outlast it`() {
        follower.start()
        answer(StoreReply.Entries(emptyList(), 7))
        val usualMs = assertIs<StoreCall.Watch>(sent.first().call).waitMs
        fail(StoreError.Unknown("no answer"))
        later.removeFirst().second()
        val probeMs = assertIs<StoreCall.Watch>(sent.first().call).waitMs
        assertTrue(probeMs <= 500, "expected a short watch, found $probeMs ms")
        answer(StoreReply.Changes(emptyList(), 7))
        assertEquals(usualMs, assertIs<StoreCall.Watch>(sent.first().call).waitMs)
    }
}
