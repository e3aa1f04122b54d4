package io.kumquatmill.traffic.crash

import io.kumquatmill.traffic.fleet.WorkerTag

/**
 * What a host tells its peers about requests under which workers have ended. All times are in milliseconds.
 *
 * @property crashes worker processes that ended while they ran a request, whoever saw it
 * @property completions responses that clear a request
 */
data class CrashReport(
    val crashes: List<Crash> = emptyList(),
    val completions: List<Completion> = emptyList(),
) {
    /** The process of [worker] ended [ageMs] ago, [leadMs] after the request had been sent to it. */
    data class Crash(
        val fingerprint: RequestFingerprint,
        val worker: WorkerTag,
        val ageMs: Long,
        val leadMs: Long,
    ) {
        init {
            requireTime(ageMs)
            requireTime(leadMs)
        }
    }

    /** A worker answered the request [ageMs] ago. */
    data class Completion(
        val fingerprint: RequestFingerprint,
        val ageMs: Long,
    ) {
        init {
            requireTime(ageMs)
        }
    }

    private companion object {
        fun requireTime(timeMs: Long) = require(timeMs >= 0) { "invalid time of $timeMs ms" }
    }
}
