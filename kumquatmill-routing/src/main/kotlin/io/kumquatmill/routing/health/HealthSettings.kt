package io.kumquatmill.routing.health

/**
 * When workers are ejected, how they come back, and how long what is known of them counts.
 *
 * A worker is ejected after [consecutiveFailures], or when its latency passes [outlierFactor] times the median of its
 * upstream in its region by at least [outlierMinMs]. A request that timed out counts as a failure when it waited longer
 * than that, or [unmeasuredTimeoutMs]. At most [maxEjectedPart] of these workers are ejected at a time.
 */
data class HealthSettings(
    val consecutiveFailures: Int = DEFAULT_CONSECUTIVE_FAILURES,
    val outlierFactor: Double = DEFAULT_OUTLIER_FACTOR,
    val outlierMinMs: Double = DEFAULT_OUTLIER_MIN_MS,
    val outlierMinSamples: Int = DEFAULT_OUTLIER_MIN_SAMPLES,
    val unmeasuredTimeoutMs: Long = DEFAULT_UNMEASURED_TIMEOUT_MS,
    val maxEjectedPart: Double = DEFAULT_MAX_EJECTED_PART,
    val baseEjectionMs: Long = DEFAULT_BASE_EJECTION_MS,
    val maxEjectionMs: Long = DEFAULT_MAX_EJECTION_MS,
    val forgiveAfterMs: Long = DEFAULT_FORGIVE_AFTER_MS,
    val rampMs: Long = DEFAULT_RAMP_MS,
    val rampStartPart: Double = DEFAULT_RAMP_START_PART,
    val drainHoldMs: Long = DEFAULT_DRAIN_HOLD_MS,
    val reportMaxAgeMs: Long = DEFAULT_REPORT_MAX_AGE_MS,
) {
    companion object {
        const val DEFAULT_CONSECUTIVE_FAILURES: Int = 3
        const val DEFAULT_OUTLIER_FACTOR: Double = 3.0
        const val DEFAULT_OUTLIER_MIN_MS: Double = 20.0
        const val DEFAULT_OUTLIER_MIN_SAMPLES: Int = 3
        const val DEFAULT_UNMEASURED_TIMEOUT_MS: Long = 1_000
        const val DEFAULT_MAX_EJECTED_PART: Double = 0.34
        const val DEFAULT_BASE_EJECTION_MS: Long = 5_000
        const val DEFAULT_MAX_EJECTION_MS: Long = 120_000
        const val DEFAULT_FORGIVE_AFTER_MS: Long = 60_000
        const val DEFAULT_RAMP_MS: Long = 10_000
        const val DEFAULT_RAMP_START_PART: Double = 0.1
        const val DEFAULT_DRAIN_HOLD_MS: Long = 30_000
        const val DEFAULT_REPORT_MAX_AGE_MS: Long = 5_000
    }
}
