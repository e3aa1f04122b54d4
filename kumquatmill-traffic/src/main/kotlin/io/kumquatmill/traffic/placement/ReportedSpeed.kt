package io.kumquatmill.traffic.placement

import kotlin.math.max
import kotlin.math.min

/**
 * How much slower than usual a worker currently is, according to its own latest report.
 *
 * A report only ever lowers the speed that the host assumes: if fast workers attracted requests, all hosts would send to the same ones.
 * Its weight falls linearly to zero within [ttlMs]. Workers change their speed at fixed intervals, and a report comes at any time within
 * one, so this is the probability that the worker has not changed its speed since.
 *
 * @param ttlMs age in milliseconds from which a report has no weight; if it is not positive, reports are ignored
 */
internal class ReportedSpeed(
    private val ttlMs: Long,
) {
    private var reportedFactor = 1.0
    private var reportedAtMs = Long.MIN_VALUE

    /** Records that work takes [servicePercent] percent of the usual time. */
    fun onReport(
        nowMs: Long,
        servicePercent: Int,
    ) {
        reportedFactor = (servicePercent / PERCENT).coerceIn(1.0, MAX_FACTOR)
        reportedAtMs = nowMs
    }

    /** Returns by which factor, from 1 to [MAX_FACTOR], a request that starts at [startMs] is expected to take longer. */
    fun factor(startMs: Long): Double {
        if (reportedFactor == 1.0 || ttlMs <= 0) return 1.0
        val weight = (1.0 - (startMs - reportedAtMs).toDouble() / ttlMs).coerceIn(0.0, 1.0)
        return 1.0 + (reportedFactor - 1.0) * weight
    }

    /**
     * Returns the time in milliseconds that a request, which ended at [nowMs] after [serviceMs], would have taken at the usual speed. What
     * a report explains is removed, so that the same slowdown is not also measured; never more than what exceeds [expectedMs].
     */
    fun usualMs(
        nowMs: Long,
        serviceMs: Double,
        expectedMs: Double,
    ): Double {
        val factor = factor(nowMs)
        return if (factor == 1.0) serviceMs else max(serviceMs / factor, min(serviceMs, expectedMs))
    }

    companion object {
        private const val PERCENT = 100.0

        /**
         * A worker that reports more is treated as this many times slower. Four times the service times of both deployments stay within
         * their deadlines, so a false report moves requests to other workers, but cannot make a host refuse them.
         */
        const val MAX_FACTOR = 4.0
    }
}
