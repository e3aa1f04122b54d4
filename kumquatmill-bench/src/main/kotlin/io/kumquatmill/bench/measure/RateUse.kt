package io.kumquatmill.bench.measure

import io.kumquatmill.bench.policy.HostBucket
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.virtual.CompletedCall

/** Rate and burst of a workspace, against which its calls are judged. */
internal data class AllowedRate(
    val ratePerS: Double,
    val burst: Int,
)

/** How much of its rate a workspace could use. */
internal data class RateUse(
    val calls: Int,
    val callsInsideRate: Int,
    val wrongfulRefusals: Int,
    val lastWrongfulMs: Long?,
) {
    /** Whether all calls were inside the rate. */
    val isInsideRate: Boolean
        get() = calls == callsInsideRate

    /** Part of the calls inside the rate that were not refused, from 0 to 1. */
    val usedPart: Double
        get() = if (callsInsideRate == 0) 1.0 else 1 - wrongfulRefusals.toDouble() / callsInsideRate
}

private const val WINDOW_MS = 5_000L

/**
 * Returns what [calls] of one workspace got of the rate [allowed].
 *
 * A full bucket of the rate and burst says how many calls of each window are inside the rate. When fewer calls of the
 * window than that were let through, whichever they were, the rest were wrongly refused.
 */
internal fun rateUse(
    calls: List<CompletedCall>,
    allowed: AllowedRate,
    startMs: Long,
): RateUse {
    val bucket = HostBucket(allowed.ratePerS, allowed.burst.toDouble())
    val inside = calls.sortedBy { it.startedAtMs }.filter { bucket.tryTake(it.startedAtMs) }
    val insideByWindow = inside.groupBy { it.window() }
    val passedByWindow = calls.filterNot { it.isRefused() }.groupBy { it.window() }
    val shortfalls =
        insideByWindow
            .mapValues { (window, all) -> all.size - (passedByWindow[window]?.size ?: 0) }
            .filterValues { it > 0 }
    val lastMs = shortfalls.keys.maxOrNull()?.let { window -> insideByWindow.getValue(window).lastRefusedMs() }
    return RateUse(calls.size, inside.size, shortfalls.values.sum(), lastMs?.minus(startMs))
}

private fun CompletedCall.window(): Long = startedAtMs / WINDOW_MS

private fun CompletedCall.isRefused(): Boolean = outcome is Outcome.NotRun

private fun List<CompletedCall>.lastRefusedMs(): Long? = filter { it.isRefused() }.maxOfOrNull { it.startedAtMs }
