package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.scenario.history.Observation

private const val NAME = "rate-within-plan"
private const val MS_PER_S = 1_000.0
private const val EPSILON = 1e-6

/**
 * No workspace gets more than its rate and burst over all hosts together.
 *
 * In no window of any length do the attempts that reach workers pass rate x window + burst. While an edit of the plan is
 * spreading, the larger of the old and the new values counts.
 */
fun rateWithinPlan(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val accepted = history.all<Observation.ListsAccepted>()
        history
            .all<Observation.AttemptArrived>()
            .filter { it.workspace != null }
            .groupBy { checkNotNull(it.workspace) }
            .flatMap { (workspace, arrivals) -> windowViolations(workspace, arrivals, accepted, bounds) }
    }

/** A rate and burst that hold from [fromMs] on. */
private data class RatePeriod(
    val fromMs: Long,
    val ratePerS: Double,
    val burst: Double,
)

private fun windowViolations(
    workspace: WorkspaceId,
    arrivals: List<Observation.AttemptArrived>,
    accepted: List<Observation.ListsAccepted>,
    bounds: InvariantBounds,
): List<Violation> {
    val periods = ratePeriods(workspace, accepted, bounds)
    val bucket = WindowBucket(periods)
    return arrivals.mapNotNull { arrival ->
        val excess = bucket.take(arrival.atMs)
        if (excess <= EPSILON) return@mapNotNull null
        Violation(NAME, arrival.atMs, "$workspace is ${"%.2f".format(excess)} attempts above rate x window + burst")
    }
}

/**
 * A full token bucket, refilled by the rate of each period and never filled above the burst.
 *
 * A sequence of arrivals fits every window exactly when this bucket never runs below zero.
 */
private class WindowBucket(
    private val periods: List<RatePeriod>,
) {
    private var level = periods.firstOrNull()?.burst ?: 0.0
    private var lastMs = periods.firstOrNull()?.fromMs ?: 0

    /** Takes one token at [atMs] and returns by how much the bucket is below zero. */
    fun take(atMs: Long): Double {
        refill(atMs)
        level -= 1
        val excess = -level
        if (excess > EPSILON) level = 0.0
        return excess
    }

    private fun refill(atMs: Long) {
        for ((index, period) in periods.withIndex()) {
            val endMs = periods.getOrNull(index + 1)?.fromMs ?: Long.MAX_VALUE
            val elapsedMs = minOf(endMs, atMs) - maxOf(period.fromMs, lastMs)
            if (elapsedMs < 0) continue
            level = minOf(period.burst, level + period.ratePerS * elapsedMs / MS_PER_S)
        }
        lastMs = maxOf(lastMs, atMs)
    }
}

private fun ratePeriods(
    workspace: WorkspaceId,
    accepted: List<Observation.ListsAccepted>,
    bounds: InvariantBounds,
): List<RatePeriod> {
    val changes = accepted.map { it.atMs to it.lists.planOf(workspace) }
    val times = accepted.flatMap { listOf(it.atMs, it.atMs + bounds.inForceMs) }.toSortedSet()
    return times.map { fromMs ->
        val plans = plansPossiblyInForce(changes, fromMs, bounds)
        RatePeriod(fromMs, plans.maxOfOrNull { it.ratePerS } ?: 0.0, plans.maxOfOrNull { it.burst.toDouble() } ?: 0.0)
    }
}

private fun plansPossiblyInForce(
    changes: List<Pair<Long, Plan?>>,
    atMs: Long,
    bounds: InvariantBounds,
): List<Plan> {
    val settled = changes.lastOrNull { it.first + bounds.inForceMs <= atMs }
    val spreading = changes.filter { it.first <= atMs && atMs < it.first + bounds.inForceMs }
    return (listOfNotNull(settled) + spreading).mapNotNull { it.second }
}

private fun OperatorLists.planOf(workspace: WorkspaceId): Plan? {
    val customer = customers.firstOrNull { it.workspace == workspace } ?: return null
    return plans.firstOrNull { it.id == customer.plan }
}
