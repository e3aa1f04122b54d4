package io.kumquatmill.gateway.store

import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import io.kumquatmill.traffic.fleet.ChangeSource
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import java.util.PriorityQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Runs a host and its reader in simulated time beside a store with a change every [changeMs]. Guards against a host that misses a change, applies
 * one too late because of its reader, or calls the store although its reader answers.
 */
class SharedWatchTest {
    private val tasks = PriorityQueue<Triple<Long, Int, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private var nowMs = 0L
    private val clock = MonotonicClock { nowMs }
    private var answersFromMs = 0L
    private var changeMs = 50L
    private val hosts = listOf("reader" to 1.5, "host" to 0.2).map { (name, cores) -> SimulatedHost(name, cores) }
    private val reader = hosts.first()
    private val host = hosts.last()

    /** Whether the reader answers its peer, and whether it reaches the store. */
    private var isReaderFrozen = false
    private var isReaderCut = false

    private inner class SimulatedHost(
        name: String,
        cores: Double,
    ) {
        val info = EntryHostInfo(name, "10.0.0.${name.length}", "east", "east-a", cores)
        val fleet = FleetView(info)
        var storeCalls = 0
        var isSettling = false
        val applied = ArrayList<Pair<Long, StoreChange>>()
        private var revision = 0L
        val watch: SharedWatch =
            SharedWatch(
                ChangeSource(fleet),
                { call, onResult -> sendToStore(call as StoreCall.Watch) { onResult(it) } },
                { _, after, onAnswer ->
                    runAfter(if (isReaderFrozen) TIMEOUT_MS else 1) {
                        onAnswer(if (isReaderFrozen) NoChanges.NO_ANSWER.left() else reader.watch.changesAfter(after))
                    }
                },
                ::runAfter,
                clock,
                isServing = { true },
                isSettling = { isSettling },
            )

        private fun sendToStore(
            call: StoreCall.Watch,
            onResult: (arrow.core.Either<StoreError, StoreReply>) -> Unit,
        ) {
            storeCalls++
            if (nowMs < answersFromMs) return runAfter(STORE_MS) { onResult(StoreError.Unavailable("down").left()) }
            if (isReaderCut && this === reader) return runAfter(call.waitMs) { onResult(StoreError.Unknown("silent").left()) }
            val untilChangeMs = (call.afterRevision + 1) * changeMs - nowMs
            runAfter(STORE_MS + untilChangeMs.coerceIn(0, call.waitMs)) {
                val newest = (nowMs - STORE_MS / 2) / changeMs
                val changes = (call.afterRevision + 1..newest).map { StoreChange("k$it", "v", it) }
                onResult(StoreReply.Changes(changes, newest).right())
            }
        }

        fun start() {
            watch.send(StoreCall.Watch("", revision, WAIT_MS)) { result ->
                result.onRight { reply ->
                    reply as StoreReply.Changes
                    reply.changes.forEach { applied += nowMs to it }
                    revision = maxOf(revision, reply.revision)
                }
                // As PrefixWatcher does.
                val isEmpty = (result.getOrNull() as? StoreReply.Changes)?.changes?.isEmpty() ?: false
                runAfter(if (isEmpty) 0 else watch.batchMs) { start() }
            }
        }

        fun report() =
            PeerReport(info.host, 1, nowMs + 1, info.ip, info.region, info.availabilityZone, revision, isServing = true, cores = info.cores)
    }

    private fun runAfter(
        delayMs: Long,
        task: () -> Unit,
    ) {
        tasks += Triple(nowMs + delayMs, tasks.size, task)
    }

    private fun reportAll() {
        hosts.forEach { to -> hosts.forEach { from -> if (from === host || !isReaderFrozen) to.fleet.onReport(nowMs, from.report()) } }
        runAfter(2_000) { reportAll() }
    }

    private fun run(untilMs: Long) {
        while ((tasks.peek()?.first ?: Long.MAX_VALUE) <= untilMs) {
            val next = tasks.poll()
            nowMs = next.first
            next.third()
        }
        nowMs = untilMs
    }

    private fun start(size: Int = 98) {
        val others = (1..size - 2).map { EntryHostInfo("x$it", "10.0.1.$it", "east", "east-b") }
        hosts.forEach { it.fleet.updateHosts(0, others + hosts.map { host -> host.info }) }
        reportAll()
        hosts.forEach { it.start() }
    }

    private fun latestDelayMs() = host.applied.maxOf { (atMs, change) -> atMs - change.revision * changeMs }

    private fun checkComplete() = assertEquals((1L..host.applied.size).toList(), host.applied.map { it.second.revision })

    @Test
    fun `changes come from the reader, complete and without calls to the store, whether there are many or few`() =
        listOf(50L, 1_000L, 10_000L).forEach { changeMs ->
            val test = SharedWatchTest().also { it.changeMs = changeMs }
            test.start()
            test.run(60_000)
            test.checkComplete()
            assertTrue(test.host.storeCalls <= 1, "changes each $changeMs ms: the host called the store ${test.host.storeCalls} times")
            assertTrue(test.latestDelayMs() <= OWN_WATCH_MS, "a change was applied after ${test.latestDelayMs()} ms")
            assertTrue(test.host.applied.size >= (60_000 - OWN_WATCH_MS) / changeMs - 1)
        }

    @Test
    fun `a reader that freezes or is cut off from the store at any moment delays a change by less than operators allow`() {
        val delays =
            (0L until 1_500L step 10L).flatMap { offsetMs ->
                listOf(true, false).map { isFreeze ->
                    val test = SharedWatchTest()
                    test.start()
                    test.run(10_000 + offsetMs)
                    if (isFreeze) test.isReaderFrozen = true else test.isReaderCut = true
                    test.run(30_000)
                    test.checkComplete()
                    test.latestDelayMs()
                }
            }
        assertTrue(delays.max() <= ALLOWED_MS, "a change was applied after ${delays.max()} ms")
    }

    @Test
    fun `a host asks the store itself while it has to confirm something, and while the store fails`() {
        start()
        run(10_000)
        host.isSettling = true
        run(20_000)
        assertTrue(host.storeCalls >= 8, "calls to confirm: ${host.storeCalls}")
        host.isSettling = false
        run(21_000)
        answersFromMs = 25_000
        val before = host.storeCalls
        run(25_000)
        assertTrue(host.storeCalls > before, "the outage was not noticed")
        run(60_000)
        checkComplete()
    }

    @Test
    fun `a fleet of 50 hosts watches the store as before`() {
        start(size = 50)
        run(60_000)
        assertTrue(host.storeCalls >= 60_000 / 1_300, "calls: ${host.storeCalls}")
        assertEquals(NoChanges.LACKING, host.watch.changesAfter(0).leftOrNull())
    }

    @Test
    fun `recent changes are bounded, and an answer that leaves a gap replaces them`() {
        val recent = RecentChanges(maxChanges = 3, maxCharacters = 100)

        fun answer(revisions: LongRange) = StoreReply.Changes(revisions.map { StoreChange("k", "v", it) }, revisions.last)
        recent.add(0, 0, answer(1L..2L))
        recent.add(10, 2, answer(3L..5L))
        assertNull(recent.after(20, 1), "the first changes are forgotten")
        assertEquals(listOf(4L, 5L), assertNotNull(recent.after(20, 3)).changes.map { it.revision })
        assertEquals(10, recent.after(20, 5)?.answerAgeMs)
        assertNull(recent.after(20, 6), "the peer knows more")
        recent.add(30, 8, answer(9L..9L))
        assertNull(recent.after(30, 5), "changes 6 to 8 are not known")
        recent.clear()
        assertNull(recent.after(50, 9))
    }

    private companion object {
        const val STORE_MS = 70L
        const val TIMEOUT_MS = 300L
        const val WAIT_MS = 2_800L

        /** Delay at a host that watches the store itself: it collects changes for 1.2 s and then calls. */
        const val OWN_WATCH_MS = 1_200 + STORE_MS

        /** Operators allow 3 s; a third is left for a busy host. */
        const val ALLOWED_MS = 2_000L
    }
}
