package io.kumquatmill.traffic.crash

import io.kumquatmill.traffic.fleet.WorkerTag
import kotlin.math.max

/**
 * Requests under which workers have ended, counted over all hosts: each host tells its peers all crashes that it knows, so that hosts that
 * know the same crashes quarantine the same requests.
 *
 * All requests that a worker ran when it ended are suspects. One that has crashed more workers, or crashes them sooner, explains the
 * crashes of the others: proper requests for the same object follow the same order of workers, and are at them when they end.
 *
 * The number of records is bounded. A caller that varies its requests cannot displace quarantined ones: they are forgotten last.
 *
 * @param selfName name of this host
 * @param onEvent called when a request is quarantined or cleared
 */
internal class CrashRecords(
    private val selfName: String,
    private val settings: CrashSettings,
    private val onEvent: (CrashEvent) -> Unit,
) {
    private val records = HashMap<RequestFingerprint, CrashRecord>()
    private var reportOffset = selfName.hashCode().mod(settings.maxRecords)

    /** Number of requests that are quarantined. */
    var quarantinedCount = 0
        private set

    /** Returns the number of crashes that are known of a request and that no response voids. */
    fun crashCount(fingerprint: RequestFingerprint): Int = records[fingerprint]?.crashCount ?: 0

    /** Returns the time in milliseconds until the quarantine of a request ends, or null if it is not quarantined. */
    fun quarantinedForMs(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ): Long? {
        records[fingerprint]?.takeIf { it.isQuarantined }?.lastUsedAtMs = nowMs
        return peekQuarantinedForMs(nowMs, fingerprint)
    }

    /** Returns what [quarantinedForMs] does, without recording that the request came again. */
    fun peekQuarantinedForMs(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ): Long? {
        val record = records[fingerprint]?.takeIf { it.isQuarantined } ?: return null
        val spaced = record.spacedCrashes()
        return max(1, spaced[spaced.size - settings.crashesToQuarantine].endedAtMs + settings.countedMs - nowMs)
    }

    /** Records a [crash] of a worker while it ran the request; [source] is the host that saw it or tells of it. */
    fun onCrash(
        nowMs: Long,
        fingerprint: RequestFingerprint,
        crash: CrashRecord.Crash,
        source: String = selfName,
    ) {
        if (nowMs - crash.endedAtMs > settings.countedMs) return
        val record = recordOf(nowMs, fingerprint)
        if (record.isVoid(crash.endedAtMs)) {
            // The peer does not know of the response that voids what it tells.
            record.completionReportedUntilMs = max(record.completionReportedUntilMs, nowMs + settings.freshMs)
        } else if (record.addCrash(crash) && record.crashCount >= settings.crashesToQuarantine) {
            updateQuarantines(nowMs, source)
        }
    }

    /** Records that a worker answered the request. Only requests that are suspected are remembered. */
    fun onCompleted(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ) {
        val record = records[fingerprint]?.takeIf { it.crashes.isNotEmpty() } ?: return
        record.completionReportedUntilMs = nowMs + settings.completionReportedMs
        complete(nowMs, record, nowMs, selfName)
    }

    /** Applies the [report] of peer [source]. */
    fun onReport(
        nowMs: Long,
        source: String,
        report: CrashReport,
    ) {
        report.completions.forEach { completion ->
            val atMs = nowMs - completion.ageMs
            val record = recordOf(nowMs, completion.fingerprint)
            val isNews = record.completedAtMs?.let { atMs - it > REPORT_TRANSIT_MS } ?: true
            if (isNews) complete(nowMs, record, atMs, source)
        }
        report.crashes.forEach { told ->
            val crash = CrashRecord.Crash(told.worker, nowMs - told.ageMs, told.leadMs, isOwn = false)
            onCrash(nowMs, told.fingerprint, crash, source)
        }
    }

    /** Returns what this host tells its peers: what is new, and the rest in turn, so that a host that has just started learns it too. */
    fun report(nowMs: Long): CrashReport {
        if (records.isEmpty()) return CrashReport()
        reportOffset++
        val crashes = records.values.flatMap { record -> record.crashes.map { record.fingerprint to it } }
        val (fresh, others) = crashes.partition { (_, crash) -> crash.isOwn && nowMs - crash.endedAtMs <= settings.freshMs }
        val completions = records.values.filter { it.completedAtMs != null && nowMs <= it.completionReportedUntilMs }
        return CrashReport(
            crashes =
                (fresh.sortedByDescending { (_, crash) -> crash.endedAtMs } + others.rotated())
                    .take(settings.maxReported)
                    .map { (fingerprint, it) -> CrashReport.Crash(fingerprint, it.worker, max(0, nowMs - it.endedAtMs), it.leadMs) },
            completions =
                completions
                    .rotated()
                    .take(settings.maxReported)
                    .map { CrashReport.Completion(it.fingerprint, max(0, nowMs - (it.completedAtMs ?: nowMs))) },
        )
    }

    /** Forgets what is too old. */
    fun expire(nowMs: Long) {
        val hasExpired = records.values.count { it.expire(nowMs - settings.countedMs) } > 0
        if (!hasExpired) return
        records.values.removeIf { it.crashes.isEmpty() && it.completedAtMs == null }
        updateQuarantines(nowMs, selfName)
    }

    private fun complete(
        nowMs: Long,
        record: CrashRecord,
        atMs: Long,
        source: String,
    ) {
        val couldBeQuarantined = record.crashCount >= settings.crashesToQuarantine
        record.onCompleted(atMs)
        if (couldBeQuarantined) updateQuarantines(nowMs, source)
    }

    /** Decides anew which requests are quarantined, because of what [source] has told. */
    private fun updateQuarantines(
        nowMs: Long,
        source: String,
    ) {
        val candidates = records.values.filter { it.crashCount >= settings.crashesToQuarantine }.sortedWith(mostSuspectFirst)
        val explained = HashSet<WorkerTag>()
        val quarantined = HashSet<CrashRecord>()
        candidates.forEach { record ->
            if (record.spacedCrashes(explained).size >= settings.crashesToQuarantine) {
                quarantined += record
                record.crashes.forEach { explained += it.worker }
            }
        }
        quarantinedCount = quarantined.size
        records.values.filter { it.isQuarantined != it in quarantined }.forEach { record ->
            record.isQuarantined = !record.isQuarantined
            val crashes = record.crashCount
            onEvent(CrashEvent.QuarantineChanged(record.fingerprint, record.isQuarantined, source, crashes, record.ageMs(nowMs)))
        }
    }

    private fun CrashRecord.ageMs(nowMs: Long): Long = nowMs - (crashes.lastOrNull()?.endedAtMs ?: completedAtMs ?: nowMs)

    private fun recordOf(
        nowMs: Long,
        fingerprint: RequestFingerprint,
    ): CrashRecord {
        val record = records[fingerprint] ?: createRecord(fingerprint)
        record.lastUsedAtMs = nowMs
        return record
    }

    /** Adds a record, and forgets the one that matters least if there are too many. */
    private fun createRecord(fingerprint: RequestFingerprint): CrashRecord {
        if (records.size >= settings.maxRecords) {
            val forgotten = records.values.minWith(leastImportantFirst)
            records.remove(forgotten.fingerprint)
            if (forgotten.isQuarantined) quarantinedCount--
        }
        return CrashRecord(fingerprint, settings).also { records[fingerprint] = it }
    }

    private fun <T> List<T>.rotated(): List<T> {
        if (size <= settings.maxReported) return this
        val start = (reportOffset * settings.maxReported).mod(size)
        return drop(start) + take(start)
    }

    private companion object {
        /** A response that a peer tells again appears later by the time that the report has taken. */
        const val REPORT_TRANSIT_MS = 1_000L

        /** The same order on all hosts. */
        val mostSuspectFirst: Comparator<CrashRecord> =
            compareByDescending<CrashRecord> { it.crashCount }.thenBy { it.meanLeadMs }.thenBy { it.fingerprint.value }
        val leastImportantFirst: Comparator<CrashRecord> =
            compareBy<CrashRecord> { it.isQuarantined }.thenBy { it.crashCount }.thenBy { it.lastUsedAtMs }
    }
}
