package io.kumquatmill.traffic.crash

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.model.WorkerEntry

/**
 * Requests whose connection to a worker was lost without a response, until a sign shows that the worker's process has ended.
 *
 * The sign often comes later than the end of the request itself. A worker that was lost is probed, so that the sign does not depend on
 * further requests to it.
 *
 * @param probe opens a connection to a worker, the result of which is passed to [onProbed]
 * @param onWorkerEnded called for each lost request of a worker whose process has ended
 */
internal class LostRequests(
    private val settings: CrashSettings,
    private val probe: (WorkerEntry) -> Unit,
    private val onWorkerEnded: (nowMs: Long, lost: LostRequest, sign: WorkerEndSign) -> Unit,
) {
    /** A request that was sent to the process of [worker] at [sentAtMs] and lost at [lostAtMs]. */
    class LostRequest(
        val fingerprint: RequestFingerprint,
        val worker: WorkerEntry,
        val sentAtMs: Long,
        val lostAtMs: Long,
    )

    private class LostAtWorker(
        val worker: WorkerEntry,
    ) {
        val requests = ArrayDeque<LostRequest>()
        var probedAtMs: Long? = null
        var probesWithoutResult = 0
        var needsProbe = true
    }

    private val lostByWorker = LinkedHashMap<WorkerTag, LostAtWorker>()

    /** Records that the connection of a request, sent to [worker] at [sentAtMs], was lost before any response. */
    fun onLost(
        nowMs: Long,
        sentAtMs: Long,
        worker: WorkerEntry,
        fingerprint: RequestFingerprint,
    ) {
        val lost = lostByWorker.getOrPut(WorkerTag.of(worker)) { LostAtWorker(worker) }
        if (lost.requests.size >= settings.maxLostPerWorker) lost.requests.removeFirst()
        lost.requests.addLast(LostRequest(fingerprint, worker, sentAtMs, nowMs))
        lost.needsProbe = true
        lost.probesWithoutResult = 0
        probeIfDue(nowMs, lost)
    }

    /** Records that the address of [worker] refused a connection. */
    fun onRefused(
        nowMs: Long,
        worker: WorkerEntry,
    ) = onEnded(nowMs, WorkerTag.of(worker), WorkerEndSign.REFUSED)

    /** Applies the [result] of the probe of [worker] that was asked for last. */
    fun onProbed(
        nowMs: Long,
        worker: WorkerEntry,
        result: ProbeResult,
    ) {
        val lost = lostByWorker[WorkerTag.of(worker)] ?: return
        when (result) {
            ProbeResult.REFUSED -> onRefused(nowMs, worker)
            ProbeResult.ACCEPTED -> lost.needsProbe = lost.requests.any { it.lostAtMs > (lost.probedAtMs ?: nowMs) }
            ProbeResult.UNKNOWN -> lost.needsProbe = ++lost.probesWithoutResult < settings.maxProbes
        }
    }

    /** Applies the current entries of all [workers]. */
    fun onEntries(
        nowMs: Long,
        workers: Map<WorkerId, WorkerEntry>,
    ) {
        val restarted =
            lostByWorker.filterValues { lost -> workers[lost.worker.id]?.let { it.startedAtMs != lost.worker.startedAtMs } ?: false }
        restarted.keys.forEach { onEnded(nowMs, it, WorkerEndSign.RESTARTED) }
    }

    /** Probes workers that are due and forgets requests that were lost too long ago; must be called several times per second. */
    fun tick(nowMs: Long) {
        lostByWorker.values.removeIf { lost ->
            lost.requests.removeIf { nowMs - it.lostAtMs > settings.signWithinMs }
            lost.requests.isEmpty()
        }
        lostByWorker.values.forEach { probeIfDue(nowMs, it) }
    }

    private fun probeIfDue(
        nowMs: Long,
        lost: LostAtWorker,
    ) {
        val lastMs = lost.probedAtMs
        if (!lost.needsProbe || (lastMs != null && nowMs - lastMs < settings.probeIntervalMs)) return
        lost.probedAtMs = nowMs
        lost.needsProbe = false
        probe(lost.worker)
    }

    private fun onEnded(
        nowMs: Long,
        tag: WorkerTag,
        sign: WorkerEndSign,
    ) = lostByWorker.remove(tag)?.requests?.forEach { onWorkerEnded(nowMs, it, sign) }
}
