package io.kumquatmill.gateway

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.gateway.store.StoreListener
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.traffic.control.TrafficController

/** Takes in what the store and peers tell, hands it to the desk, and logs what changed. */
internal class HostBelief(
    private val cache: StateCache,
    private val desk: TrafficController,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val onFirstReady: () -> Unit,
) : StoreListener {
    private var wasReady = false
    private var wasEverReady = false

    /** Whether the store failed lately. */
    var isStoreAway: Boolean = false
        private set

    override fun onSnapshot(
        prefix: String,
        entries: List<StoreEntry>,
        revision: Long,
    ) {
        cache.onSnapshot(clock.nowMs(), prefix, entries, revision)
        log.note("entries read", "prefix" to prefix, "entries" to entries.size, "revision" to revision)
        apply("store")
    }

    override fun onChanges(changes: List<StoreChange>) {
        cache.onChanges(clock.nowMs(), changes)
        apply("store")
    }

    override fun onFailure(
        prefix: String,
        error: StoreError,
        failures: Int,
    ) {
        if (failures == 1) log.warn("store fails", "prefix" to prefix, "detail" to error.message)
        isStoreAway = true
        cache.onOutage()
    }

    override fun onRecovery(
        prefix: String,
        failures: Int,
    ) {
        log.note("store answers again", "prefix" to prefix, "failures" to failures)
        isStoreAway = false
        cache.onOutageEnd(clock.nowMs())
    }

    /** Takes all [entries] that the peer [host] knows as of [revision]. */
    fun onPeerState(
        host: String,
        prefixes: List<String>,
        entries: List<StoreEntry>,
        revision: Long,
    ) {
        prefixes.forEach { prefix -> cache.onSnapshot(clock.nowMs(), prefix, entries.filter { it.key.startsWith(prefix) }, revision) }
        log.note("entries taken from a peer", "peer" to host, "revision" to revision)
        apply(host)
    }

    fun tick(nowMs: Long) {
        if (cache.dropLapsed(nowMs)) apply("time")
    }

    private fun apply(source: String) {
        val nowMs = clock.nowMs()
        val versionBefore = desk.version
        val state = cache.state()
        desk.updateHosts(nowMs, cache.hosts())
        desk.update(nowMs, state)
        if (desk.version != versionBefore) {
            log.note("desired state in force", "version" to desk.version, "before" to versionBefore, "source" to source)
        }
        if (desk.isReady != wasReady) {
            wasReady = desk.isReady
            if (wasReady && !wasEverReady) onFirstReady()
            wasEverReady = wasEverReady || wasReady
            log.note("readiness changed", "isReady" to wasReady, "version" to desk.version, "workers" to state.workers.size)
        }
        log.note(
            "state taken in",
            "revision" to cache.revision,
            "source" to source,
            "workers" to state.workers.size,
            "draining" to state.workers.values.count { it.isDraining },
            "evacuated" to state.evacuatedZones.joinToString(","),
        )
    }
}
