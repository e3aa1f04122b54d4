package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Plays random schedules of a store that fails, answers late or never, forgets its history, pages, and is read from peers, while
 * operators and workers write. Fresh seeds: `-Dkumquatmill.seed=N`.
 */
class StoreSimulationTest {
    private val keys = StateKeys("d", "evacuate/", "workers/", "hosts/", listOf(""))

    /** The truth, with its history since [forgottenUntil]. */
    private class Store {
        val entries = sortedMapOf<String, StoreEntry>()
        val history = ArrayList<StoreChange>()
        var revision = 1L
        var forgottenUntil = 0L

        fun write(
            key: String,
            value: String?,
        ) {
            revision++
            if (value == null) entries.remove(key) else entries[key] = StoreEntry(key, value, revision)
            history += StoreChange(key, value, revision)
        }

        fun compact() {
            forgottenUntil = revision
            history.clear()
        }
    }

    private inner class Schedule(
        seed: Long,
    ) : StoreListener {
        private val random = Random(seed)
        private val store = Store()
        private val tasks = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
        private var tasksMade = 0L
        private var nowMs = 0L
        private var awayUntilMs = 0L
        private var isSilent = false
        private val cache = StateCache(keys, PlainTextStateDecoder)
        private var version = 0L
        private var lastVersionSeen = 0L
        val faults = ArrayList<String>()
        private val calls = ArrayList<Long>()
        private val follower = PrefixWatcher("", ::send, ::runAfter, this, Random(seed + 1))

        fun run(): List<String> {
            follower.start()
            operate()
            while (nowMs < CALM_FROM_MS + CALM_MS) {
                val next = tasks.poll() ?: break
                nowMs = next.first
                next.third()
            }
            checkEnd()
            return faults
        }

        private fun runAfter(
            delayMs: Long,
            task: () -> Unit,
        ) {
            tasks.add(Triple(nowMs + delayMs, tasksMade++, task))
        }

        /** Every 100 ms something is written, and now and then the store or its history goes. */
        private fun operate() {
            // What was only in force while nobody could read it is gone: the last state is one that can be read.
            if (nowMs >= CALM_FROM_MS) return store.write("d", "${++version}")
            when (random.nextInt(8)) {
                0 -> store.write("d", "${++version}")
                1 -> store.write("evacuate/z${random.nextInt(3)}", if (random.nextBoolean()) "x" else null)
                2 -> store.write("d", "not readable")
                3 -> if (random.nextInt(4) == 0) store.compact()
                4 ->
                    if (random.nextInt(6) == 0) {
                        awayUntilMs = minOf(CALM_FROM_MS, nowMs + random.nextLong(200, 6_000))
                        isSilent = random.nextBoolean()
                    }
                5 -> if (random.nextInt(4) == 0) takeFromPeer()
                else -> {
                    val key = "workers/w${random.nextInt(6)}"
                    store.write(key, listOf("ready", "draining", null).random(random))
                }
            }
            cache.dropLapsed(nowMs)
            runAfter(100) { operate() }
        }

        /** A peer knows all entries as of now, or as of what it read a moment ago. */
        private fun takeFromPeer() {
            val entries = store.entries.values.toList()
            val revision = store.revision
            runAfter(random.nextLong(0, 500)) {
                cache.onSnapshot(nowMs, "", entries, revision)
                look()
            }
        }

        private fun send(
            call: StoreCall,
            onEnd: (Either<StoreError, StoreReply>) -> Unit,
        ) {
            calls += nowMs
            runAfter(random.nextLong(1, 60)) { reach(call, onEnd) }
        }

        private fun reach(
            call: StoreCall,
            onEnd: (Either<StoreError, StoreReply>) -> Unit,
        ) {
            val isAway = nowMs < awayUntilMs
            when {
                isAway && isSilent -> runAfter(SILENCE_MS) { onEnd(StoreError.Unavailable("silent").left()) }
                isAway -> onEnd(StoreError.Unavailable("away").left())
                nowMs < CALM_FROM_MS && random.nextInt(30) == 0 ->
                    runAfter(random.nextLong(0, SILENCE_MS)) {
                        onEnd(StoreError.Unavailable("answer lost").left())
                    }
                else -> answer(call, untilMs = nowMs + ((call as? StoreCall.Watch)?.waitMs ?: 0), onEnd)
            }
        }

        private fun answer(
            call: StoreCall,
            untilMs: Long,
            onEnd: (Either<StoreError, StoreReply>) -> Unit,
        ) {
            val wayMs = random.nextLong(1, 60)
            when (call) {
                is StoreCall.ReadPrefix -> {
                    val rest = store.entries.values.filter { call.afterKey == null || it.key > call.afterKey!! }
                    val reply = StoreReply.Entries(rest.take(PAGE), store.revision, rest.size > PAGE)
                    runAfter(wayMs) { onEnd(reply.right()) }
                }
                is StoreCall.Watch -> {
                    val changes = store.history.filter { it.revision > call.afterRevision }
                    val revision = store.revision
                    when {
                        call.afterRevision < store.forgottenUntil ->
                            runAfter(wayMs) { onEnd(StoreError.HistoryGone(call.afterRevision).left()) }
                        changes.isNotEmpty() || nowMs >= untilMs ->
                            runAfter(wayMs) { onEnd(StoreReply.Changes(changes, revision).right()) }
                        else -> runAfter(POLL_MS) { answer(call, untilMs, onEnd) }
                    }
                }
                else -> error("unexpected $call")
            }
        }

        override fun onSnapshot(
            prefix: String,
            entries: List<StoreEntry>,
            revision: Long,
        ) {
            cache.onSnapshot(nowMs, prefix, entries, revision)
            look()
        }

        override fun onChanges(changes: List<StoreChange>) {
            cache.onChanges(nowMs, changes)
            look()
        }

        override fun onFailure(
            prefix: String,
            error: StoreError,
            failures: Int,
        ) = cache.onOutage()

        override fun onRecovery(
            prefix: String,
            failures: Int,
        ) = cache.onOutageEnd(nowMs)

        private fun look() {
            val seen = cache.state().desired?.version ?: 0
            if (seen < lastVersionSeen) faults += "at $nowMs: version $seen after $lastVersionSeen"
            lastVersionSeen = seen
        }

        private fun checkEnd() {
            cache.dropLapsed(nowMs)
            val state = cache.state()
            val workers =
                store.entries.keys
                    .filter { it.startsWith("workers/") }
                    .map { it.removePrefix("workers/") }
                    .toSet()
            if (state.workers.keys
                    .map { it.value }
                    .toSet() != workers
            ) {
                faults += "workers ${state.workers.keys}, expected $workers"
            }
            val drains = store.entries.filter { it.key.startsWith("workers/") && it.value.value == "draining" }.size
            if (state.workers.values.count { it.isDraining } != drains) faults += "draining workers differ"
            val zones =
                store.entries.keys
                    .filter { it.startsWith("evacuate/") }
                    .map { it.removePrefix("evacuate/") }
                    .toSet()
            if (state.evacuatedZones.map { it.value }.toSet() != zones) faults += "zones ${state.evacuatedZones}, expected $zones"
            if (lastVersionSeen != version) faults += "version $lastVersionSeen, expected $version"
            val mostCalls = calls.maxOf { start -> calls.count { it in start until start + 1_000 } }
            if (mostCalls > MOST_CALLS_PER_S) faults += "$mostCalls calls in a second, expected at most $MOST_CALLS_PER_S"
        }
    }

    @Test
    fun `a host ends with what the store holds, never goes back, and does not press`() {
        val fresh = System.getProperty("kumquatmill.seed")?.toLong()
        val seeds = if (fresh == null) 1L..SEEDS else fresh until fresh + SEEDS
        val faults = seeds.flatMap { seed -> Schedule(seed).run().map { "seed $seed: $it" } }
        assertEquals(emptyList(), faults.take(10))
    }

    private companion object {
        const val SEEDS = 200L
        const val CALM_FROM_MS = 30_000L

        /** Time after the last trouble in which all must be known: what operators may expect of a host in touch. */
        const val CALM_MS = 8_000L
        const val SILENCE_MS = 1_000L
        const val POLL_MS = 10L
        const val PAGE = 4

        /** A follower with one call at a time and an answer every few tens of milliseconds at the best. */
        const val MOST_CALLS_PER_S = 20
    }
}
