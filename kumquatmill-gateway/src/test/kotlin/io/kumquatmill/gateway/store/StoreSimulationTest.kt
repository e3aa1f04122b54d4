package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Simulates random schedules of a store that fails, responds late or never, compacts its history and returns entries in pages, while
 * operators and workers write and the cache also loads snapshots of peers. The store may come back from an older copy; what it lost is then
 * written again. Guards against a host that ends with a state other than the store's, returns to an older version, uses a worker that has
 * left or drains, sends to an evacuated zone, or calls the store too often. `-Dkumquatmill.seed=N` sets another
 * first seed.
 */
class StoreSimulationTest {
    private val keys = StateKeys("d", "evacuate/", "workers/", "hosts/", listOf(""))

    private inner class Simulation(
        seed: Long,
    ) : StoreListener {
        private val random = Random(seed)

        private val store = SimulatedStore()
        private val workers = SimulatedWorkers(store, random)
        private val tasks = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
        private var scheduledTaskCount = 0L
        private var nowMs = 0L
        private var unavailableUntilMs = 0L
        private var isUnresponsive = false
        private val cache = StateCache(keys, PlainTextStateDecoder)
        private var version = 0L
        private var lastVersion = 0L
        var restores = 0

        /** Revision at which each evacuated zone was evacuated, and those evacuations that the host has applied. */
        private val evacuatedSince = HashMap<String, Long>()
        private val appliedEvacuations = HashMap<String, Long>()
        private val vanishedProcesses = HashSet<Pair<WorkerId, Long>>()
        private val drainingProcesses = HashSet<Pair<WorkerId, Long>>()
        private var usedProcesses = emptySet<Pair<WorkerId, Long>>()
        val violations = ArrayList<String>()
        private val callTimesMs = ArrayList<Long>()
        private val watcher =
            PrefixWatcher(
                "",
                ::send,
                ::runAfter,
                this,
                Random(seed + 1),
                batchDelayMs = { 300 },
                schedule = StoreCallSchedule(recoveryMs = 4_000),
                isSettling = { cache.isSettling },
            )

        fun run(): List<String> {
            watcher.start()
            performRandomOperations()
            while (nowMs < FAULTS_END_MS + SETTLE_MS) {
                val next = tasks.poll() ?: break
                nowMs = next.first
                next.third()
            }
            checkFinalState()
            return violations
        }

        private fun runAfter(
            delayMs: Long,
            task: () -> Unit,
        ) {
            tasks.add(Triple(nowMs + delayMs, scheduledTaskCount++, task))
        }

        /** Writes something every 100 ms, and occasionally makes the store unavailable or compacts its history. */
        private fun performRandomOperations() {
            // The last write must be readable: a version that is overwritten before any read is never seen.
            if (nowMs >= FAULTS_END_MS) return store.write("d", "${++version}")
            when (random.nextInt(8)) {
                0 -> store.write("d", "${++version}")
                1 -> writeEvacuation("z${random.nextInt(3)}", random.nextBoolean())
                2 -> store.write("d", "not readable")
                3 -> if (random.nextInt(4) == 0) store.compact()
                4 ->
                    if (random.nextInt(6) == 0) {
                        unavailableUntilMs = minOf(FAULTS_END_MS, nowMs + random.nextLong(200, 6_000))
                        isUnresponsive = random.nextBoolean()
                    }
                5 -> if (random.nextInt(4) == 0) loadSnapshotFromPeer()
                else -> {
                    workers.advance("workers/w${random.nextInt(6)}", nowMs)
                }
            }
            if (random.nextInt(40) == 0) store.saveCopy()
            if (random.nextInt(120) == 0) restoreStore()
            if (cache.expireGracePeriods(nowMs)) checkState()
            runAfter(100) { performRandomOperations() }
        }

        private fun writeEvacuation(
            zone: String,
            isEvacuated: Boolean,
        ) {
            store.write("evacuate/$zone", if (isEvacuated) "x" else null)
            if (isEvacuated) evacuatedSince.putIfAbsent(zone, store.revision) else evacuatedSince.remove(zone)
        }

        /** Restores the store from its copy. Operators and workers write again what it lost, within two seconds. */
        private fun restoreStore() {
            restores++
            unavailableUntilMs = minOf(FAULTS_END_MS, nowMs + 300)
            store.restore().forEach { key ->
                runAfter(random.nextLong(0, 2_000)) {
                    when {
                        key.startsWith("workers/") -> workers.rewrite(key)
                        key == "d" -> store.write("d", "$version")
                        else -> key.removePrefix("evacuate/").let { zone -> writeEvacuation(zone, zone in evacuatedSince) }
                    }
                }
            }
        }

        /** Loads the current entries through a peer, which arrive up to 500 ms later. */
        private fun loadSnapshotFromPeer() {
            val entries = store.entries.values.toList()
            val revision = store.revision
            runAfter(random.nextLong(0, 500)) {
                cache.onSnapshot(nowMs, "", entries, revision)
                checkState()
            }
        }

        private fun send(
            call: StoreCall,
            onResult: (Either<StoreError, StoreReply>) -> Unit,
        ) {
            callTimesMs += nowMs
            runAfter(random.nextLong(1, 60)) { deliver(call, onResult) }
        }

        private fun deliver(
            call: StoreCall,
            onResult: (Either<StoreError, StoreReply>) -> Unit,
        ) {
            val isUnavailable = nowMs < unavailableUntilMs
            when {
                isUnavailable && isUnresponsive -> runAfter(RESPONSE_TIMEOUT_MS) { onResult(StoreError.Unavailable("no response").left()) }
                isUnavailable -> onResult(StoreError.Unavailable("store down").left())
                nowMs < FAULTS_END_MS && random.nextInt(30) == 0 ->
                    runAfter(random.nextLong(0, RESPONSE_TIMEOUT_MS)) {
                        onResult(StoreError.Unavailable("response lost").left())
                    }
                else -> respond(call, untilMs = nowMs + ((call as? StoreCall.Watch)?.waitMs ?: 0), onResult)
            }
        }

        private fun respond(
            call: StoreCall,
            untilMs: Long,
            onResult: (Either<StoreError, StoreReply>) -> Unit,
        ) {
            val delayMs = random.nextLong(1, 60)
            when (call) {
                is StoreCall.ReadPrefix -> {
                    val remaining = store.entries.values.filter { call.afterKey == null || it.key > call.afterKey!! }
                    val reply = StoreReply.Entries(remaining.take(PAGE_SIZE), store.revision, remaining.size > PAGE_SIZE)
                    runAfter(delayMs) { onResult(reply.right()) }
                }
                is StoreCall.Watch -> {
                    val changes = store.changesAfter(call.afterRevision)
                    val revision = store.revision
                    when {
                        changes == null -> runAfter(delayMs) { onResult(StoreError.HistoryGone(call.afterRevision).left()) }
                        changes.isNotEmpty() || nowMs >= untilMs ->
                            runAfter(delayMs) { onResult(StoreReply.Changes(changes, revision).right()) }
                        else -> runAfter(WATCH_POLL_MS) { respond(call, untilMs, onResult) }
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
            checkState()
        }

        override fun onChanges(changes: List<StoreChange>) {
            cache.onChanges(nowMs, changes)
            checkState()
        }

        override fun onAsked() = cache.onStoreAsked(nowMs)

        override fun onAnswered() = cache.onStoreAnswered()

        override fun onFailure(
            prefix: String,
            error: StoreError,
            failures: Int,
        ) = cache.onOutage()

        override fun onRecovery(
            prefix: String,
            failures: Int,
        ) = cache.onOutageEnd(nowMs)

        private fun checkState() {
            val known = cache.state().workers.values
            val processes = known.mapTo(HashSet()) { it.id to it.startedAtMs }
            vanishedProcesses += (usedProcesses - processes).filter { it in workers.leftProcesses }
            usedProcesses = processes
            known.filter { it.isDraining }.forEach { drainingProcesses += it.id to it.startedAtMs }
            val usable = known.filterNot { it.isDraining }.map { it.id to it.startedAtMs }
            usable.filter { it in vanishedProcesses }.forEach { violations += "at $nowMs ms: $it in use again after it had left" }
            usable.filter { it in drainingProcesses }.forEach { violations += "at $nowMs ms: $it in use again after it drained" }
            checkEvacuatedZones()
            checkVersion()
        }

        /** A zone whose evacuation the host has applied stays evacuated until the operator takes it back, whatever the store has lost. */
        private fun checkEvacuatedZones() {
            val shown = cache.state().evacuatedZones.mapTo(HashSet()) { it.value }
            val missing = evacuatedSince.filter { (zone, revision) -> zone !in shown && appliedEvacuations[zone] == revision }.keys
            if (missing.isNotEmpty()) violations += "at $nowMs ms: zones $missing not evacuated any more"
            appliedEvacuations += evacuatedSince.filter { (zone, revision) -> zone in shown && revision <= cache.revision }
        }

        private fun checkVersion() {
            val seenVersion = cache.state().desired?.version ?: 0
            if (seenVersion < lastVersion) violations += "at $nowMs ms: version $seenVersion after $lastVersion"
            lastVersion = seenVersion
        }

        private fun checkFinalState() {
            cache.expireGracePeriods(nowMs)
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
                violations += "workers ${state.workers.keys}, expected $workers"
            }
            val drainingCount = store.entries.filter { it.key.startsWith("workers/") && it.value.value.startsWith("draining") }.size
            if (state.workers.values.count { it.isDraining } != drainingCount) violations += "draining workers differ from $drainingCount"
            val zones =
                store.entries.keys
                    .filter { it.startsWith("evacuate/") }
                    .map { it.removePrefix("evacuate/") }
                    .toSet()
            if (state.evacuatedZones.map { it.value }.toSet() != zones) violations += "zones ${state.evacuatedZones}, expected $zones"
            if (lastVersion != version) violations += "version $lastVersion, expected $version"
            val peakCallsPerS = callTimesMs.maxOf { start -> callTimesMs.count { it in start until start + 1_000 } }
            if (peakCallsPerS > MAX_CALLS_PER_S) violations += "$peakCallsPerS calls in a second, expected at most $MAX_CALLS_PER_S"
        }
    }

    @Test
    fun `the store comes back from an older copy in most schedules`() {
        val restores = (1L..SEEDS).sumOf { seed -> Simulation(seed).apply { run() }.restores }
        assertTrue(restores >= SEEDS, "expected a restore in a schedule on average, found $restores in $SEEDS")
    }

    @Test
    fun `a host converges to the state of the store, never goes back and limits its calls`() {
        val firstSeed = System.getProperty("kumquatmill.seed")?.toLong()
        val seeds = if (firstSeed == null) 1L..SEEDS else firstSeed until firstSeed + SEEDS
        val violations = seeds.flatMap { seed -> Simulation(seed).run().map { "seed $seed: $it" } }
        assertEquals(emptyList(), violations.take(10))
    }

    private companion object {
        const val SEEDS = 200L
        const val FAULTS_END_MS = 30_000L

        /** Time after the last fault within which the host must have the final state, as operators may expect of a connected host. */
        const val SETTLE_MS = 8_000L
        const val RESPONSE_TIMEOUT_MS = 1_000L
        const val WATCH_POLL_MS = 10L
        const val PAGE_SIZE = 4

        /** Upper bound for a watcher with one call at a time and a response every few tens of milliseconds at best. */
        const val MAX_CALLS_PER_S = 20
    }
}
