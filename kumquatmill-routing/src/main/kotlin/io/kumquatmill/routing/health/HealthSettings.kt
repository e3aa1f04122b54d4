package io.kumquatmill.routing.health

/**
 * Settings of outlier ejection, slow start and drains.
 *
 * Workers are compared with the others of their upstream in their region. A worker is ejected after
 * [consecutiveFailuresToEject], or when its latency, averaged over at least [outlierMinSamples] samples, exceeds both
 * [outlierLatencyFactor] times the median and the median by [outlierMinExcessMs]. A timed-out request counts as a failure if it
 * waited longer than that threshold, or at least [absoluteTimeoutMs]. At most [maxEjectedFraction] of the compared workers are
 * ejected at a time; workers that refuse connections are ejected regardless.
 *
 * An ejection lasts for [baseEjectionMs], twice as long with each further one, and at most [maxEjectionMs]. The backoff is reset
 * after [ejectionBackoffResetMs] in service. A worker that is new, reinstated or no longer draining starts with
 * [slowStartInitialFraction] of its slots, which grows to all of them within [slowStartMs]. A drain signalled by a worker's
 * response ends after [drainResponseTtlMs], and a load report is ignored after [loadReportTtlMs].
 */
data class HealthSettings(
    val consecutiveFailuresToEject: Int = DEFAULT_CONSECUTIVE_FAILURES_TO_EJECT,
    val outlierLatencyFactor: Double = DEFAULT_OUTLIER_LATENCY_FACTOR,
    val outlierMinExcessMs: Double = DEFAULT_OUTLIER_MIN_EXCESS_MS,
    val outlierMinSamples: Int = DEFAULT_OUTLIER_MIN_SAMPLES,
    val absoluteTimeoutMs: Long = DEFAULT_ABSOLUTE_TIMEOUT_MS,
    val maxEjectedFraction: Double = DEFAULT_MAX_EJECTED_FRACTION,
    val baseEjectionMs: Long = DEFAULT_BASE_EJECTION_MS,
    val maxEjectionMs: Long = DEFAULT_MAX_EJECTION_MS,
    val ejectionBackoffResetMs: Long = DEFAULT_EJECTION_BACKOFF_RESET_MS,
    val slowStartMs: Long = DEFAULT_SLOW_START_MS,
    val slowStartInitialFraction: Double = DEFAULT_SLOW_START_INITIAL_FRACTION,
    val drainResponseTtlMs: Long = DEFAULT_DRAIN_RESPONSE_TTL_MS,
    val loadReportTtlMs: Long = DEFAULT_LOAD_REPORT_TTL_MS,
) {
    companion object {
        const val DEFAULT_CONSECUTIVE_FAILURES_TO_EJECT: Int = 3
        const val DEFAULT_OUTLIER_LATENCY_FACTOR: Double = 3.0
        const val DEFAULT_OUTLIER_MIN_EXCESS_MS: Double = 20.0
        const val DEFAULT_OUTLIER_MIN_SAMPLES: Int = 3
        const val DEFAULT_ABSOLUTE_TIMEOUT_MS: Long = 1_000
        const val DEFAULT_MAX_EJECTED_FRACTION: Double = 0.34
        const val DEFAULT_BASE_EJECTION_MS: Long = 5_000
        const val DEFAULT_MAX_EJECTION_MS: Long = 120_000
        const val DEFAULT_EJECTION_BACKOFF_RESET_MS: Long = 60_000
        const val DEFAULT_SLOW_START_MS: Long = 10_000
        const val DEFAULT_SLOW_START_INITIAL_FRACTION: Double = 0.1
        const val DEFAULT_DRAIN_RESPONSE_TTL_MS: Long = 30_000
        const val DEFAULT_LOAD_REPORT_TTL_MS: Long = 5_000
    }
}
