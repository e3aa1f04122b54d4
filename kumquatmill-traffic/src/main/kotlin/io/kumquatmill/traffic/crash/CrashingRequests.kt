package io.kumquatmill.traffic.crash

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.model.WorkerEntry

/**
 * Keeps requests that end the workers that run them away from the workers. Such a request comes again and again, at any host, and takes
 * the capacity of all others with it.
 *
 * A request under which enough workers have ended, without a response to it in between, is quarantined at all hosts.
 *
 * @param probe opens a connection to a worker, the result of which is passed to [onProbed]
 * @param onEvent called when a worker has ended under a request, and when a request is quarantined or cleared
 */
internal class CrashingRequests(
    selfName: String,
    private val settings: CrashSettings,
    probe: (WorkerEntry) -> Unit,
    private val onEvent: (CrashEvent) -> Unit,
) {
    private val records = CrashRecords(selfName, settings, onEvent)
    private val lostRequests = LostRequests(settings, probe, ::onWorkerEnded)

    /** Number of requests that are quarantined. */
    val quarantinedCount: Int
        get() = records.quarantinedCount

    /** Returns the time in milliseconds until the quarantine of a request ends, or null if it is not quarantined. */
    fun quarantinedForMs(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ): Long? = records.quarantinedForMs(nowMs, fingerprint)

    /** Returns what [quarantinedForMs] does, without recording that the request came again. */
    fun peekQuarantinedForMs(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ): Long? = records.peekQuarantinedForMs(nowMs, fingerprint)

    /** Returns whether a worker has ended under the request, which no response has cleared since. */
    fun isSuspected(fingerprint: RequestFingerprint): Boolean = records.crashCount(fingerprint) > 0

    /** Records that the connection of a request, sent to [worker] at [sentAtMs], was lost before any response. */
    fun onLost(
        nowMs: Long,
        sentAtMs: Long,
        worker: WorkerEntry,
        fingerprint: RequestFingerprint,
    ) = lostRequests.onLost(nowMs, sentAtMs, worker, fingerprint)

    /** Records that the address of [worker] refused a connection. */
    fun onRefused(
        nowMs: Long,
        worker: WorkerEntry,
    ) = lostRequests.onRefused(nowMs, worker)

    /** Applies the [result] of the probe of [worker]. */
    fun onProbed(
        nowMs: Long,
        worker: WorkerEntry,
        result: ProbeResult,
    ) = lostRequests.onProbed(nowMs, worker, result)

    /** Records that a worker answered the request. */
    fun onCompleted(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ) = records.onCompleted(nowMs, fingerprint)

    /** Applies the current entries of all [workers]. */
    fun onEntries(
        nowMs: Long,
        workers: Map<WorkerId, WorkerEntry>,
    ) = lostRequests.onEntries(nowMs, workers)

    /** Applies the [report] of a peer. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ) = records.onReport(nowMs, report.host, report.crashes)

    /** Returns what this host tells its peers. */
    fun report(nowMs: Long): CrashReport = records.report(nowMs)

    /** Probes workers that are due and forgets what is too old; must be called several times per second. */
    fun tick(nowMs: Long) {
        lostRequests.tick(nowMs)
        records.expire(nowMs)
    }

    private fun onWorkerEnded(
        nowMs: Long,
        lost: LostRequests.LostRequest,
        sign: WorkerEndSign,
    ) {
        val leadMs = lost.lostAtMs - lost.sentAtMs
        records.onCrash(nowMs, lost.fingerprint, CrashRecord.Crash(WorkerTag.of(lost.worker), lost.lostAtMs, leadMs, isOwn = true))
        val crashes = records.crashCount(lost.fingerprint)
        onEvent(CrashEvent.WorkerEnded(lost.fingerprint, lost.worker.id, sign, crashes, nowMs - lost.lostAtMs))
    }
}
