package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.crash.CrashReport
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.WorkerTag
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Encoded [CrashReport]: lists of whole numbers, of which the first four, about crashes, have the same length, and so have the other two,
 * about completions. Times are in milliseconds.
 */
@Serializable
internal class CrashColumns(
    @SerialName("f") private val crashed: List<Long> = emptyList(),
    @SerialName("t") private val workers: List<Int> = emptyList(),
    @SerialName("a") private val crashAgesMs: List<Int> = emptyList(),
    @SerialName("l") private val leadsMs: List<Int> = emptyList(),
    @SerialName("c") private val completed: List<Long> = emptyList(),
    @SerialName("b") private val completionAgesMs: List<Int> = emptyList(),
) {
    init {
        requireSameSize(crashed, workers, crashAgesMs, leadsMs)
        requireSameSize(completed, completionAgesMs)
    }

    /** Throws [IllegalArgumentException] if a time is negative. */
    fun toReport() =
        CrashReport(
            crashes =
                crashed.indices.map {
                    val fingerprint = RequestFingerprint(crashed[it])
                    CrashReport.Crash(fingerprint, WorkerTag(workers[it]), crashAgesMs[it].toLong(), leadsMs[it].toLong())
                },
            completions =
                completed.indices.map { CrashReport.Completion(RequestFingerprint(completed[it]), completionAgesMs[it].toLong()) },
        )

    companion object {
        /** Columns of a report without crashes, which most reports are; a frame leaves them out. */
        val EMPTY = CrashColumns()

        fun of(report: CrashReport): CrashColumns {
            if (report.crashes.isEmpty() && report.completions.isEmpty()) return EMPTY
            return CrashColumns(
                crashed = report.crashes.map { it.fingerprint.value },
                workers = report.crashes.map { it.worker.value },
                crashAgesMs = report.crashes.map { toInt(it.ageMs) },
                leadsMs = report.crashes.map { toInt(it.leadMs) },
                completed = report.completions.map { it.fingerprint.value },
                completionAgesMs = report.completions.map { toInt(it.ageMs) },
            )
        }

        private fun toInt(timeMs: Long): Int = timeMs.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()

        private fun requireSameSize(vararg columns: List<*>) =
            require(columns.all { it.size == columns.first().size }) {
                "expected lists of the same length, found ${columns.joinToString { it.size.toString() }}"
            }
    }
}
