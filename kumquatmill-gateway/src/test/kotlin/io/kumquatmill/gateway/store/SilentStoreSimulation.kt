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

/**
 * Simulates a fleet whose open connections to the store go silent, at all hosts or at some, once or several times in a row, while hosts are
 * cut off from the store, frozen and restarted, and the store compacts its history. Hosts do not help each other here.
 *
 * @param batchMs time in milliseconds for which hosts collect changes
 */
internal class SilentStoreSimulation(
    private val hostCount: Int,
    seed: Long,
    private val batchMs: Long,
    private val schedule: StoreCallSchedule,
) {
    private class Host(
        val index: Int,
    ) {
        val cache = StateCache(StateKeys("d", "evacuate/", "workers/", "hosts/", listOf("")), PlainTextStateDecoder)
        var connectedAtMs: Long? = null
        var silencedAtMs = -1L
        var cutUntilMs = 0L
        var frozenUntilMs = 0L
        var suspendedMs = 0L
        var troubledUntilMs = 0L

        val version: Long
            get() = cache.state().desired?.version ?: 0
    }

    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val random = Random(seed)
    private val store = SimulatedStore()
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private val writtenAtMs = ArrayList<Long>()
    private val hosts = ArrayList<Host>()
    private var eventCount = 0L
    private var nowMs = 0L
    private var storeTroubledUntilMs = 0L
    private val violations = ArrayList<String>()

    /** Returns what broke the rule: hosts in touch that lacked a version which had been confirmed for long enough. */
    fun run(): List<String> {
        repeat(WORKERS) { store.write("workers/w$it", "ready") }
        write()
        repeat(hostCount) { hosts += start(it) }
        actRandomly()
        checkVersions()
        while (nowMs < END_MS) {
            val next = events.poll() ?: break
            nowMs = next.atMs
            next.action()
        }
        return violations
    }

    private fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMs + delayMs, eventCount++, action))
    }

    private fun isCurrent(host: Host) = hosts.size <= host.index || hosts[host.index] === host

    /** Runs [action] on [host] after [delayMs] of its steady clock, which does not count the time for which the host is frozen. */
    private fun timer(
        host: Host,
        delayMs: Long,
        action: () -> Unit,
    ) {
        val suspendedMs = host.suspendedMs
        after(delayMs) {
            val missedMs = host.suspendedMs - suspendedMs
            when {
                !isCurrent(host) -> Unit
                missedMs > 0 -> timer(host, missedMs, action)
                else -> action()
            }
        }
    }

    /** Runs [action] on [host] after [delayMs], or when the host is not frozen any more. */
    private fun deliver(
        host: Host,
        delayMs: Long,
        action: () -> Unit,
    ): Unit =
        after(delayMs) {
            when {
                !isCurrent(host) -> Unit
                nowMs < host.frozenUntilMs -> deliver(host, host.frozenUntilMs - nowMs, action)
                else -> action()
            }
        }

    private fun start(index: Int): Host {
        val host = Host(index)
        val watcher =
            PrefixWatcher(
                "",
                send = { call, onResult -> send(host, call, onResult) },
                runAfter = { delayMs, task -> timer(host, delayMs, task) },
                listener = CacheListener(host),
                random = Random(index),
                batchDelayMs = { batchMs },
                schedule = schedule,
                isConnected = { host.connectedAtMs != null },
                isSettling = { host.cache.isSettling },
            )
        watcher.start()
        return host
    }

    private inner class CacheListener(
        private val host: Host,
    ) : StoreListener {
        override fun onSnapshot(
            prefix: String,
            entries: List<StoreEntry>,
            revision: Long,
        ) = host.cache.onSnapshot(nowMs, prefix, entries, revision)

        override fun onChanges(changes: List<StoreChange>) = host.cache.onChanges(nowMs, changes)

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

    /** Sends [call] over the open connection, or over a new one, and gives it up when the schedule says so. */
    private fun send(
        host: Host,
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        var isFinished = false

        fun finish(
            connectedAtMs: Long?,
            result: Either<StoreError, StoreReply>,
        ) {
            if (isFinished) return
            isFinished = true
            host.connectedAtMs = connectedAtMs
            onResult(result)
        }
        timer(host, schedule.timeoutMs(call)) { finish(null, StoreError.Unknown("no answer in time").left()) }
        val roundTripMs = random.nextLong(2, 75)
        val connectMs = if (host.connectedAtMs == null) roundTripMs else 0
        after(connectMs + roundTripMs / 2) {
            val connectedAtMs = host.connectedAtMs ?: nowMs
            respond(host, call, connectedAtMs, nowMs + ((call as? StoreCall.Watch)?.waitMs ?: 0)) { result ->
                deliver(host, roundTripMs / 2) { if (isAlive(host, connectedAtMs)) finish(connectedAtMs, result) }
            }
        }
    }

    private fun isAlive(
        host: Host,
        connectedAtMs: Long,
    ) = connectedAtMs > host.silencedAtMs && nowMs >= host.cutUntilMs

    private fun respond(
        host: Host,
        call: StoreCall,
        connectedAtMs: Long,
        untilMs: Long,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        if (!isAlive(host, connectedAtMs)) return
        when (call) {
            is StoreCall.ReadPrefix -> onResult(page(call.afterKey).right())
            is StoreCall.Watch -> {
                val changes = store.changesAfter(call.afterRevision)
                when {
                    changes == null -> onResult(StoreError.HistoryGone(call.afterRevision).left())
                    changes.isNotEmpty() || nowMs >= untilMs -> onResult(StoreReply.Changes(changes, store.revision).right())
                    else -> after(WATCH_POLL_MS) { respond(host, call, connectedAtMs, untilMs, onResult) }
                }
            }
            else -> error("unexpected $call")
        }
    }

    private fun page(afterKey: String?): StoreReply.Entries {
        val entries =
            store.entries.values
                .filter { afterKey == null || it.key > afterKey }
        return StoreReply.Entries(entries.take(PAGE_SIZE), store.revision, hasMore = entries.size > PAGE_SIZE)
    }

    private fun write() {
        writtenAtMs += nowMs
        store.write("d", "${writtenAtMs.size}")
    }

    private fun actRandomly() {
        after(random.nextLong(100, 5_000)) {
            if (nowMs < END_MS - CALM_END_MS) actRandomly()
            when (random.nextInt(10)) {
                0, 1, 2 -> silence(share = 1.0)
                3 -> silence(share = 0.7)
                4 -> repeat(3) { after(it * random.nextLong(50, 2_000)) { silence(share = 1.0) } }
                5 -> store.compact()
                6 -> trouble(hosts.random(random)) { it.cutUntilMs = nowMs + random.nextLong(500, 6_000) }
                7 -> trouble(hosts.random(random)) { freeze(it, random.nextLong(300, 5_000)) }
                8 -> restart(hosts.random(random))
                else -> Unit
            }
            if (random.nextInt(3) > 0) after(random.nextLong(0, 1_600)) { write() }
        }
    }

    /** Silences the open connections of [share] of the hosts; it counts as a trouble of the store. */
    private fun silence(share: Double) {
        storeTroubledUntilMs = maxOf(storeTroubledUntilMs, nowMs)
        hosts.filter { random.nextDouble() < share }.forEach { it.silencedAtMs = nowMs }
    }

    private fun freeze(
        host: Host,
        forMs: Long,
    ) {
        if (nowMs < host.frozenUntilMs) return
        host.frozenUntilMs = nowMs + forMs
        host.suspendedMs += forMs
    }

    private fun restart(host: Host) {
        hosts[host.index] = start(host.index).also { it.troubledUntilMs = nowMs }
    }

    private fun trouble(
        host: Host,
        action: (Host) -> Unit,
    ) {
        action(host)
        host.troubledUntilMs = maxOf(host.troubledUntilMs, host.cutUntilMs, host.frozenUntilMs, nowMs)
    }

    private fun checkVersions() {
        after(CHECK_MS) { checkVersions() }
        if (storeTroubledUntilMs + STABLE_MS > nowMs) return
        val required = writtenAtMs.indexOfLast { it + APPLY_MS <= nowMs } + 1L
        hosts
            .filter { it.troubledUntilMs + STABLE_MS <= nowMs && it.version < required }
            .forEach { violations += "at $nowMs ms: host ${it.index} has version ${it.version} instead of $required" }
    }

    companion object {
        private const val WORKERS = 5
        private const val PAGE_SIZE = 2
        private const val END_MS = 120_000L
        private const val CALM_END_MS = 10_000L
        private const val WATCH_POLL_MS = 20L
        private const val CHECK_MS = 50L

        /** Time in which a version must be in force, and time without trouble after which this holds, as the platform states them. */
        private const val APPLY_MS = 2_500L
        const val STABLE_MS = 4_000L
    }
}
