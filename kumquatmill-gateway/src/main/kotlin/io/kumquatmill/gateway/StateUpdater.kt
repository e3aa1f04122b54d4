package io.kumquatmill.gateway

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.gateway.store.StoreListener
import io.kumquatmill.gateway.store.describeRevision
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.traffic.control.TrafficController

/** Applies entries from the store and from peers to the cache, passes the resulting state to the controller and logs changes. */
internal class StateUpdater(
    private val cache: StateCache,
    private val controller: TrafficController,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val onFirstReady: () -> Unit,
) : StoreListener {
    private var wasReady = false
    private var wasEverReady = false
    private var answeredAtMs: Long? = null

    /** Whether calls to the store are failing. */
    var isStoreUnavailable: Boolean = false
        private set

    /** Returns the time in milliseconds since the store last answered this host's watch, or null before its first answer. */
    fun answerAgeMs(nowMs: Long): Long? = answeredAtMs?.let { nowMs - it }

    override fun onSnapshot(
        prefix: String,
        entries: List<StoreEntry>,
        revision: Long,
    ) {
        cache.onSnapshot(clock.nowMs(), prefix, entries, revision)
        log.info("snapshot read from store", "prefix" to prefix, "entries" to entries.size, "revision" to describeRevision(revision))
        applyState("store")
    }

    override fun onChanges(changes: List<StoreChange>) {
        cache.onChanges(clock.nowMs(), changes)
        applyState("store")
    }

    override fun onAsked() = cache.onStoreAsked(clock.nowMs())

    override fun onAnswered() {
        answeredAtMs = clock.nowMs()
        cache.onStoreAnswered()
    }

    override fun onFailure(
        prefix: String,
        error: StoreError,
        failures: Int,
    ) {
        if (failures == 1) {
            log.warn(
                "store call failed; retrying with backoff",
                "prefix" to prefix,
                "detail" to error.message,
                "lastAnswerAgeMs" to (answerAgeMs(clock.nowMs()) ?: "none"),
            )
        }
        isStoreUnavailable = true
        cache.onOutage()
    }

    override fun onRecovery(
        prefix: String,
        failures: Int,
    ) {
        log.info(
            "store available again",
            "prefix" to prefix,
            "failures" to failures,
            "lastAnswerAgeMs" to (answerAgeMs(clock.nowMs()) ?: "none"),
        )
        isStoreUnavailable = false
        cache.onOutageEnd(clock.nowMs())
    }

    /** Applies all [entries] that [peer] knows as of [revision]. */
    fun onPeerState(
        peer: String,
        prefixes: List<String>,
        entries: List<StoreEntry>,
        revision: Long,
    ) {
        prefixes.forEach { prefix -> cache.onSnapshot(clock.nowMs(), prefix, entries.filter { it.key.startsWith(prefix) }, revision) }
        cache.onPeerDesiredState(entries)
        log.info("snapshot fetched from peer", "peer" to peer, "revision" to describeRevision(revision))
        applyState(peer)
    }

    /** Applies the desired state among the [entries] of [peer] if it is newer than the own one. */
    fun onPeerDesiredState(
        peer: String,
        entries: List<StoreEntry>,
    ) {
        if (cache.onPeerDesiredState(entries)) applyState(peer)
    }

    /** Removes workers whose grace period has ended; must be called several times per second. */
    fun tick(nowMs: Long) {
        if (cache.expireGracePeriods(nowMs)) applyState("time")
    }

    private fun applyState(source: String) {
        val nowMs = clock.nowMs()
        val previousVersion = controller.version
        val state = cache.state()
        controller.updateHosts(nowMs, cache.hosts())
        controller.update(nowMs, state)
        if (controller.version != previousVersion) {
            log.info("desired state version changed", "version" to controller.version, "before" to previousVersion, "source" to source)
        }
        if (controller.isReady != wasReady) {
            wasReady = controller.isReady
            if (wasReady && !wasEverReady) onFirstReady()
            wasEverReady = wasEverReady || wasReady
            log.info("readiness changed", "isReady" to wasReady, "version" to controller.version, "workers" to state.workers.size)
        }
        log.info(
            "state applied",
            "revision" to describeRevision(cache.revision),
            "source" to source,
            "workers" to state.workers.size,
            "draining" to state.workers.values.count { it.isDraining },
            "evacuated" to state.evacuatedZones.joinToString(","),
        )
    }
}
