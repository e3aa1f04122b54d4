package io.kumquatmill.traffic.reach

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.model.WorkerEntry
import kotlin.math.min
import kotlin.random.Random

/**
 * Decides whether this host is cut off from all workers, while its peers reach them.
 *
 * Only new connections count: one that opens shows that the host reaches workers, and connections that live on may hide that no new one can
 * be opened. Workers of all upstreams and availability zones must have failed, so that neither an upstream nor a zone that is down looks
 * like a cut; as long as connections fail and none opens, workers of the others are probed. Whether all workers are gone instead is told by
 * the peers. All times are milliseconds of one monotonic clock.
 *
 * @param probe opens a connection to a worker, the result of which is passed to [onConnected] or [onConnectFailed]
 * @param onChange called when the host is cut off, and when it reaches workers again
 */
internal class WorkerReach(
    private val settings: ReachSettings,
    private val random: Random,
    private val probe: (WorkerEntry) -> Unit,
    private val onChange: (ReachChange) -> Unit,
) {
    private val failed = LinkedHashSet<WorkerId>()
    private val reached = LinkedHashSet<WorkerId>()
    private var suspectedSinceMs = 0L
    private var lastFailedAtMs = 0L
    private var peersReachedAtMs: Long? = null
    private var probedAtMs: Long? = null
    private var respondedAtMs: Long? = null
    private var cutOffSinceMs: Long? = null

    /** Whether this host is cut off from all workers. */
    val isCutOff: Boolean
        get() = cutOffSinceMs != null

    /** Returns the time in milliseconds since a worker last responded to this host or accepted its connection, or null if none has. */
    fun reachAgeMs(nowMs: Long): Long? = respondedAtMs?.let { nowMs - it }

    /** Records a response of a worker, over whichever connection. */
    fun onResponse(nowMs: Long) {
        respondedAtMs = nowMs
    }

    /** Records that a new connection to [worker] was opened. */
    fun onConnected(
        nowMs: Long,
        worker: WorkerId,
    ) {
        respondedAtMs = nowMs
        forgetFailures()
        if (isCutOff) reached += worker
    }

    /** Records that no connection to [worker] could be opened. */
    fun onConnectFailed(
        nowMs: Long,
        worker: WorkerId,
    ) {
        if (failed.isEmpty()) suspectedSinceMs = nowMs
        failed += worker
        lastFailedAtMs = nowMs
        reached -= worker
    }

    private fun forgetFailures() {
        failed.clear()
        peersReachedAtMs = null
    }

    /**
     * Decides anew, and probes some of the [workers] if connections fail.
     *
     * @param peerReachAgesMs returns the times in milliseconds since workers last responded to the peers that reach them
     */
    fun tick(
        nowMs: Long,
        workers: Collection<WorkerEntry>,
        peerReachAgesMs: () -> List<Long>,
    ) {
        val known = workers.mapTo(HashSet()) { it.id }
        failed.retainAll(known)
        reached.retainAll(known)
        val cutSinceMs = cutOffSinceMs
        if (cutSinceMs != null) {
            if (reached.size >= min(settings.reachedWorkers, known.size)) endCut(nowMs, cutSinceMs)
        } else if (failed.isNotEmpty()) {
            val haveAllFailed = failed.size >= min(settings.failedWorkers, known.size) && withoutFailure(workers).isEmpty()
            if (peersReachWorkers(nowMs, peerReachAgesMs()) && haveAllFailed) startCut(nowMs)
        }
        if (isCutOff || failed.isNotEmpty()) probe(nowMs, workers)
    }

    /**
     * Returns whether a peer has reached a worker since connections fail here, and one has failed here after that again. Otherwise the
     * workers may be gone, or may just have come back.
     */
    private fun peersReachWorkers(
        nowMs: Long,
        agesMs: List<Long>,
    ): Boolean {
        val firstMs = agesMs.map { nowMs - it }.filter { it >= suspectedSinceMs + settings.evidenceDelayMs }.minOrNull()
        val reachedAtMs = peersReachedAtMs ?: firstMs ?: return false
        peersReachedAtMs = reachedAtMs
        return lastFailedAtMs - settings.connectTimeoutMs >= reachedAtMs
    }

    private fun startCut(nowMs: Long) {
        cutOffSinceMs = nowMs
        reached.clear()
        onChange(ReachChange(isCutOff = true, failed.size, nowMs - suspectedSinceMs))
    }

    private fun endCut(
        nowMs: Long,
        cutSinceMs: Long,
    ) {
        cutOffSinceMs = null
        forgetFailures()
        onChange(ReachChange(isCutOff = false, failedWorkers = 0, nowMs - cutSinceMs))
    }

    /** Returns those of [workers] to whose upstream or availability zone no connection has failed yet. */
    private fun withoutFailure(workers: Collection<WorkerEntry>): List<WorkerEntry> {
        val failing = workers.filter { it.id in failed }
        val upstreams = failing.mapTo(HashSet()) { it.upstream }
        val zones = failing.mapTo(HashSet()) { it.availabilityZone }
        return workers.filter { !it.isDraining && (it.upstream !in upstreams || it.availabilityZone !in zones) }
    }

    private fun probe(
        nowMs: Long,
        workers: Collection<WorkerEntry>,
    ) {
        val lastMs = probedAtMs
        if (lastMs != null && nowMs - lastMs < settings.probeIntervalMs) return
        probedAtMs = nowMs
        val candidates = workers.filterNot { it.isDraining }.shuffled(random)
        if (isCutOff) return candidates.take(settings.probesWhileCutOff).forEach(probe)
        val uncovered = withoutFailure(candidates).distinctBy { it.upstream to it.availabilityZone }
        (uncovered + candidates.filter { it.id !in failed } + candidates).distinct().take(settings.probes).forEach(probe)
    }
}
