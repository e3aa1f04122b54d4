package io.kumquatmill.bench.measure

import io.kumquatmill.bench.policy.TokenBucket
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.virtual.CompletedCall

/** Rate and burst that a workspace may use. */
internal data class AllowedRate(
    val ratePerS: Double,
    val burst: Int,
)

/**
 * How much of its allowed rate a workspace could use.
 *
 * @property wrongfulRefusals calls that were refused although they were inside the rate
 * @property lastWrongfulMs start of the last call that was wrongfully refused, in milliseconds since the start of the load
 */
internal data class RateUsage(
    val calls: Int,
    val callsInsideRate: Int,
    val wrongfulRefusals: Int,
    val lastWrongfulMs: Long?,
) {
    /** Whether all calls were inside the rate. */
    val isInsideRate: Boolean
        get() = calls == callsInsideRate

    /** Fraction of the calls inside the rate that were not refused; 1 if there were none. */
    val usedFraction: Double
        get() = if (callsInsideRate == 0) 1.0 else 1 - wrongfulRefusals.toDouble() / callsInsideRate
}

private const val WINDOW_MS = 5_000L

/**
 * Compares the [calls] of one workspace with its [allowed] rate; [startMs] is the time at which the load started.
 *
 * A token bucket, full at first, determines how many calls in each window are inside the rate. If fewer calls of the window
 * were admitted, no matter which, the difference counts as wrongful refusals.
 */
internal fun rateUsage(
    calls: List<CompletedCall>,
    allowed: AllowedRate,
    startMs: Long,
): RateUsage {
    val bucket = TokenBucket(allowed.ratePerS, allowed.burst.toDouble())
    val insideRate = calls.sortedBy { it.startedAtMs }.filter { bucket.tryTake(it.startedAtMs) }
    val insideByWindow = insideRate.groupBy { it.window() }
    val notRefusedByWindow = calls.filterNot { it.isRefused() }.groupBy { it.window() }
    val shortfalls =
        insideByWindow
            .mapValues { (window, all) -> all.size - (notRefusedByWindow[window]?.size ?: 0) }
            .filterValues { it > 0 }
    val lastMs = shortfalls.keys.maxOrNull()?.let { window -> insideByWindow.getValue(window).lastRefusedMs() }
    return RateUsage(calls.size, insideRate.size, shortfalls.values.sum(), lastMs?.minus(startMs))
}

private fun CompletedCall.window(): Long = startedAtMs / WINDOW_MS

private fun CompletedCall.isRefused(): Boolean = outcome is Outcome.NotRun

private fun List<CompletedCall>.lastRefusedMs(): Long? = filter { it.isRefused() }.maxOfOrNull { it.startedAtMs }
