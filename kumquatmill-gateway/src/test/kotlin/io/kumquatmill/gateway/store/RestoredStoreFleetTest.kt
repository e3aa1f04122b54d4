package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.gateway.RevisionLag
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
 * Simulates a fleet whose store comes back from an older copy again and again, while hosts are cut off from it, frozen and restarted, and
 * fetch the state of peers. Guards against a host on which a confirmed version is not in force in time, a version goes back, or a worker is
 * used that has left. `-Dkumquatmill.seed=N` sets another first seed.
 */
class RestoredStoreFleetTest {
    private class Host(
        val index: Int,
    ) {
        val cache = StateCache(StateKeys("d", "evacuate/", "workers/", "hosts/", listOf("")), PlainTextStateDecoder)
        val eras = StoreEraTracker()
        val lag = RevisionLag { LAG_MS }
        var cutUntilMs = 0L
        var frozenUntilMs = 0L
        var troubledUntilMs = 0L
        var lastVersion = 0L
        val used = HashSet<Pair<WorkerId, Long>>()
        val vanished = HashSet<Pair<WorkerId, Long>>()
        val backlog = ArrayList<() -> Unit>()
    }

    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private inner class Simulation(
        private val hostCount: Int,
        seed: Long,
    ) {
        private val random = Random(seed)
        private val store = SimulatedStore()
        private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
        private var eventCount = 0L
        private var nowMs = 0L
        private var storeDownUntilMs = 0L
        private var storeTroubledUntilMs = 0L
        private var version = 0L
        private val workers = SimulatedWorkers(store, random)
        private val hosts = ArrayList<Host>()
        val violations = ArrayList<String>()

        fun run(): List<String> {
            store.write("d", "${++version}")
            repeat(WORKERS) { workers.advance("workers/w$it", nowMs) }
            repeat(hostCount) { hosts += start(it) }
            act()
            while (nowMs < FAULTS_END_MS + SETTLE_MS) {
                val next = events.poll() ?: break
                nowMs = next.atMs
                next.action()
            }
            val behind = hosts.filter { it.lastVersion != version }.map { "host ${it.index} has ${it.lastVersion}" }
            if (behind.isNotEmpty()) violations += "version $version at the end: $behind"
            val expected = workers.names
            val wrong =
                hosts
                    .filter { host ->
                        host.cache
                            .state()
                            .workers.keys
                            .mapTo(HashSet()) { it.value } != expected
                    }.map { it.index }
            if (wrong.isNotEmpty()) violations += "hosts $wrong have other workers than $expected"
            return violations
        }

        private fun after(
            delayMs: Long,
            action: () -> Unit,
        ) {
            events.add(Event(nowMs + delayMs, eventCount++, action))
        }

        private fun start(index: Int): Host {
            val host = Host(index)
            val watcher =
                PrefixWatcher(
                    "",
                    send = { call, onResult -> send(host, call, onResult) },
                    runAfter = { delayMs, task -> after(delayMs) { ifRunning(host, task) } },
                    listener = listener(host),
                    random = Random(index),
                    batchDelayMs = { BATCH_MS },
                    schedule = StoreCallSchedule(STABLE_MS),
                    isSettling = { host.cache.isSettling },
                )
            watcher.start()
            after(random.nextLong(CATCH_UP_MS)) { catchUp(host) }
            return host
        }

        private fun isCurrent(host: Host) = hosts.size <= host.index || hosts[host.index] === host

        private fun ifRunning(
            host: Host,
            action: () -> Unit,
        ) {
            if (!isCurrent(host)) return
            if (nowMs < host.frozenUntilMs) host.backlog += action else action()
        }

        private fun listener(host: Host) =
            object : StoreListener {
                override fun onSnapshot(
                    prefix: String,
                    entries: List<StoreEntry>,
                    revision: Long,
                ) {
                    host.cache.onSnapshot(nowMs, prefix, entries, revision)
                    check(host)
                }

                override fun onChanges(changes: List<StoreChange>) {
                    host.cache.onChanges(nowMs, changes)
                    check(host)
                }

                override fun onAsked() = host.cache.onStoreAsked(nowMs)

                override fun onAnswered() = host.cache.onStoreAnswered()

                override fun onFailure(
                    prefix: String,
                    error: StoreError,
                    failures: Int,
                ) = host.cache.onOutage()

                override fun onRecovery(
                    prefix: String,
                    failures: Int,
                ) = host.cache.onOutageEnd(nowMs)
            }

        private fun send(
            host: Host,
            call: StoreCall,
            onResult: (Either<StoreError, StoreReply>) -> Unit,
        ) = after(random.nextLong(1, 40)) {
            respond(host, call, nowMs + ((call as? StoreCall.Watch)?.waitMs ?: 0)) { era, result ->
                after(random.nextLong(1, 40)) {
                    ifRunning(host) {
                        val isLate = era != null && host.eras.onAnswer("$era") == null
                        onResult(if (isLate) StoreError.Unknown("answer of an earlier era").left() else result)
                    }
                }
            }
        }

        private fun respond(
            host: Host,
            call: StoreCall,
            untilMs: Long,
            onResult: (era: Long?, Either<StoreError, StoreReply>) -> Unit,
        ) {
            val isUnreachable = nowMs < storeDownUntilMs || nowMs < host.cutUntilMs
            when {
                isUnreachable -> onResult(null, StoreError.Unavailable("no connection").left())
                call is StoreCall.ReadPrefix ->
                    onResult(store.era, StoreReply.Entries(store.entries.values.toList(), store.revision).right())
                call is StoreCall.Watch -> {
                    val changes = store.changesAfter(call.afterRevision)
                    when {
                        changes == null -> onResult(store.era, StoreError.HistoryGone(call.afterRevision).left())
                        changes.isNotEmpty() || nowMs >= untilMs ->
                            onResult(store.era, StoreReply.Changes(changes, store.revision).right())
                        else -> after(WATCH_POLL_MS) { respond(host, call, untilMs, onResult) }
                    }
                }
                else -> error("unexpected $call")
            }
        }

        /** Fetches the state of the newest peer if the host lags behind it. */
        private fun catchUp(host: Host) {
            if (!isCurrent(host)) return
            after(CATCH_UP_MS) { catchUp(host) }
            ifRunning(host) {
                if (host.cache.expireGracePeriods(nowMs)) check(host)
                val peer = hosts.filter { it !== host && nowMs >= it.frozenUntilMs }.maxByOrNull { it.cache.revision } ?: return@ifRunning
                if (host.lag.isLagging(nowMs, host.cache.revision, peer.cache.revision)) fetch(host, peer)
            }
        }

        private fun fetch(
            host: Host,
            peer: Host,
        ) {
            val entries = peer.cache.allEntries()
            val revision = peer.cache.revision
            after(random.nextLong(2, 150)) {
                ifRunning(host) {
                    if (revision > host.cache.revision) host.cache.onSnapshot(nowMs, "", entries, revision)
                    check(host)
                }
            }
        }

        private fun check(host: Host) {
            val state = host.cache.state()
            val seen = state.desired?.version ?: 0
            if (seen < host.lastVersion) violations += "at $nowMs ms: host ${host.index} goes back from ${host.lastVersion} to $seen"
            host.lastVersion = seen
            val usable =
                state.workers.values
                    .filterNot { it.isDraining }
                    .mapTo(HashSet()) { it.id to it.startedAtMs }
            host.vanished += (host.used - usable).filter { it in workers.leftProcesses }
            host.used += usable
            val wrong = usable.filter { it in host.vanished }
            if (wrong.isNotEmpty()) violations += "at $nowMs ms: host ${host.index} uses $wrong again"
        }

        private fun act() {
            if (nowMs >= FAULTS_END_MS) return write(isLast = true)
            when (random.nextInt(12)) {
                0, 1 -> write(isLast = false)
                2, 3, 4 -> workers.advance("workers/w${random.nextInt(WORKERS)}", nowMs)
                5 -> if (random.nextInt(3) == 0) store.saveCopy()
                6 -> if (random.nextInt(12) == 0) restoreStore()
                7 -> if (random.nextInt(8) == 0) store.compact()
                8 -> trouble(hosts.random(random)) { it.cutUntilMs = nowMs + random.nextLong(500, 6_000) }
                9 -> if (random.nextInt(3) == 0) trouble(hosts.random(random)) { freeze(it, random.nextLong(300, 5_000)) }
                10 -> if (random.nextInt(3) == 0) restart(hosts.random(random))
            }
            after(ACT_MS) { act() }
        }

        /** Writes a version, which must be in force in time on all hosts that have had no trouble for long enough. */
        private fun write(isLast: Boolean) {
            if (nowMs < storeDownUntilMs && !isLast) return
            store.write("d", "${++version}")
            val written = version
            val writtenAtMs = nowMs
            after(APPLY_MS) {
                val isStoreCalm = storeTroubledUntilMs + STABLE_MS <= nowMs
                val behind =
                    hosts.filter { isStoreCalm && it.troubledUntilMs + STABLE_MS <= nowMs && it.lastVersion < written }.map { it.index }
                if (behind.isNotEmpty()) violations += "version $written of $writtenAtMs ms not in force on $behind"
            }
        }

        /** Restores the store from its copy. The operator and the workers write again what it lost. */
        private fun restoreStore() {
            storeDownUntilMs = nowMs + random.nextLong(50, 2_500)
            storeTroubledUntilMs = storeDownUntilMs
            val lost = store.restore()
            lost.forEach { key ->
                after(storeDownUntilMs - nowMs + random.nextLong(0, 2_000)) {
                    if (key == "d") store.write(key, "$version") else workers.rewrite(key)
                }
            }
        }

        private fun trouble(
            host: Host,
            action: (Host) -> Unit,
        ) {
            action(host)
            host.troubledUntilMs = maxOf(host.troubledUntilMs, host.cutUntilMs, host.frozenUntilMs, nowMs)
        }

        private fun freeze(
            host: Host,
            forMs: Long,
        ) {
            if (nowMs < host.frozenUntilMs) return
            host.frozenUntilMs = nowMs + forMs
            after(forMs) {
                val due = host.backlog.toList()
                host.backlog.clear()
                due.forEach { it() }
            }
        }

        private fun restart(host: Host) {
            hosts[host.index] = start(host.index).also { it.troubledUntilMs = nowMs }
        }
    }

    private fun violations(
        hostCount: Int,
        seeds: Int,
    ): List<String> {
        val firstSeed = System.getProperty("kumquatmill.seed")?.toLong() ?: 1L
        return (firstSeed until firstSeed + seeds).flatMap { seed -> Simulation(hostCount, seed).run().map { "seed $seed: $it" } }.take(10)
    }

    @Test
    fun `versions are in force in time and never go back on 7 hosts`() = assertEquals(emptyList(), violations(hostCount = 7, seeds = 30))

    @Test
    fun `versions are in force in time and never go back on 37 hosts`() = assertEquals(emptyList(), violations(hostCount = 37, seeds = 4))

    @Test
    fun `versions are in force in time and never go back on 300 hosts`() = assertEquals(emptyList(), violations(hostCount = 300, seeds = 1))

    private companion object {
        const val WORKERS = 6
        const val ACT_MS = 100L
        const val FAULTS_END_MS = 40_000L
        const val SETTLE_MS = 8_000L
        const val BATCH_MS = 300L
        const val CATCH_UP_MS = 500L
        const val LAG_MS = 400L
        const val WATCH_POLL_MS = 20L

        /** Time in which a version must be in force, and time without trouble after which this holds, as the platform states them. */
        const val APPLY_MS = 2_500L
        const val STABLE_MS = 4_000L
    }
}
