package io.kumquatmill.traffic.leaving

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.WorkerLifetime
import io.kumquatmill.traffic.model.lifetime

/**
 * Workers that have said in an answer that they leave.
 *
 * What a worker said to this host counts for the rest of the worker's lifetime, whatever its entry says, is written again or returns. What
 * it said to a peer may be wrong, as one spoilt answer is enough: this host then only prefers other workers, for a limited time, and until
 * the worker answers it without saying so.
 *
 * @param selfName name of this host
 * @param onChange called for each change of what this host knows
 */
internal class LeavingWorkers(
    private val selfName: String,
    private val settings: LeavingSettings = LeavingSettings(),
    private val onChange: (LeavingChange) -> Unit = { },
) {
    private class Said(
        val atMs: Long,
        var listedAtMs: Long,
    )

    private class Told(
        val atMs: Long,
        val source: String,
    )

    private val said = LinkedHashMap<WorkerLifetime, Said>()
    private val told = LinkedHashMap<WorkerTag, Told>()
    private val disprovedAtMs = HashMap<WorkerTag, Long>()
    private var entriesByTag: Map<WorkerTag, WorkerEntry> = emptyMap()

    /** Whether any worker has said to this host that it leaves. */
    val isAnyLeaving: Boolean
        get() = said.isNotEmpty()

    /** Returns whether the worker of [entry] has said to this host that it leaves. */
    fun hasSaid(entry: WorkerEntry): Boolean = isAnyLeaving && entry.lifetime in said

    /** Returns whether a peer has reported that the worker of [entry] leaves, so that others are preferred. */
    fun isTold(
        nowMs: Long,
        entry: WorkerEntry,
    ): Boolean = told.isNotEmpty() && told[WorkerTag.of(entry)]?.let { nowMs - it.atMs <= settings.toldMs } ?: false

    /** Records that the worker of [entry] has said in an answer to this host that it leaves; returns false if it had said so before. */
    fun onSaid(
        nowMs: Long,
        entry: WorkerEntry,
    ): Boolean {
        if (entry.lifetime in said) return false
        said[entry.lifetime] = Said(nowMs, listedAtMs = nowMs)
        told.remove(WorkerTag.of(entry))
        while (said.size > settings.maxRemembered) said.remove(said.keys.first())
        onChange(LeavingChange(LeavingChange.Kind.SAID, entry, selfName, ageMs = 0))
        return true
    }

    /** Records that the worker of [entry] answered a request that was sent at [sentAtMs], and has not said to this host that it leaves. */
    fun onAnswered(
        nowMs: Long,
        sentAtMs: Long,
        entry: WorkerEntry,
    ) {
        if (told.isEmpty()) return
        val tag = WorkerTag.of(entry)
        val report = told[tag]?.takeIf { sentAtMs > it.atMs } ?: return
        told.remove(tag)
        disprovedAtMs[tag] = sentAtMs
        onChange(LeavingChange(LeavingChange.Kind.DISPROVED, entry, report.source, nowMs - report.atMs))
    }

    /** Applies what a peer's [report] says that workers have said to the peer. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ) = report.leavingWorkers.forEach { (tag, ageMs) -> onTold(nowMs, tag, Told(nowMs - ageMs, report.host)) }

    private fun onTold(
        nowMs: Long,
        tag: WorkerTag,
        report: Told,
    ) {
        val entry = entriesByTag[tag]
        val known = told[tag]
        when {
            nowMs - report.atMs > settings.toldMs || (entry != null && hasSaid(entry)) -> return
            known != null && known.atMs >= report.atMs -> return
            report.atMs <= (disprovedAtMs[tag] ?: Long.MIN_VALUE) -> return
            known == null && told.size >= settings.maxRemembered -> return
        }
        told[tag] = report
        if (known == null) onChange(LeavingChange(LeavingChange.Kind.TOLD, entry, report.source, nowMs - report.atMs))
    }

    /** Returns the tags of workers that have said to this host that they leave, with the time since then, to be reported to peers. */
    fun ownWords(nowMs: Long): Map<WorkerTag, Long> =
        said
            .filterValues { nowMs - it.atMs <= settings.reportedMs }
            .entries
            .sortedByDescending { (_, word) -> word.atMs }
            .take(settings.maxReported)
            .associate { (lifetime, word) -> WorkerTag.of(lifetime) to nowMs - word.atMs }

    /** Applies the current [entries] and forgets workers that have had none for long enough. */
    fun retain(
        nowMs: Long,
        entries: Map<WorkerId, WorkerEntry>,
    ) {
        entriesByTag = entries.values.associateBy { WorkerTag.of(it) }
        said.forEach { (lifetime, word) -> if (entries[lifetime.id]?.startedAtMs == lifetime.startedAtMs) word.listedAtMs = nowMs }
        said.values.removeIf { nowMs - it.listedAtMs > settings.forgetAfterMs }
    }

    /** Forgets what peers told too long ago; must be called several times per second. */
    fun tick(nowMs: Long) {
        val lapsed = told.filterValues { nowMs - it.atMs > settings.toldMs }
        lapsed.forEach { (tag, report) ->
            told.remove(tag)
            onChange(LeavingChange(LeavingChange.Kind.LAPSED, entriesByTag[tag], report.source, nowMs - report.atMs))
        }
        disprovedAtMs.values.removeIf { nowMs - it > settings.toldMs }
    }
}
