package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.scenario.history.Observation
import java.util.Locale

private const val NAME = "rate-within-plan"
private const val MS_PER_S = 1_000.0
private const val EPSILON = 1e-6

/**
 * No workspace exceeds its rate and burst over all hosts together.
 *
 * In a window of any length, at most rate x window + burst attempts reach workers. While an edit of the plan propagates, the
 * larger of the old and the new values applies.
 */
fun rateWithinPlan(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val accepted = history.observationsOf<Observation.ConfigurationAccepted>()
        history
            .observationsOf<Observation.AttemptArrived>()
            .filter { it.workspace != null }
            .groupBy { checkNotNull(it.workspace) }
            .flatMap { (workspace, arrivals) -> rateViolations(workspace, arrivals, accepted, bounds) }
    }

/** Rate and burst that apply from [fromMs] until the next period. */
private data class RatePeriod(
    val fromMs: Long,
    val ratePerS: Double,
    val burst: Double,
)

private fun rateViolations(
    workspace: WorkspaceId,
    arrivals: List<Observation.AttemptArrived>,
    accepted: List<Observation.ConfigurationAccepted>,
    bounds: InvariantBounds,
): List<Violation> {
    val periods = ratePeriods(workspace, accepted, bounds)
    val buckets = periods.map { it.burst }.distinct().map { LeakyBucket(it, periods) }
    return arrivals.mapNotNull { arrival ->
        val overrun = buckets.mapNotNull { it.add(arrival.atMs) }.maxByOrNull { it.excess } ?: return@mapNotNull null
        Violation(NAME, arrival.atMs, "$workspace $overrun")
    }
}

/** A window with more attempts than the plan allows. */
private data class WindowOverrun(
    val attempts: Int,
    val windowMs: Long,
    val allowed: Double,
) {
    val excess: Double
        get() = attempts - allowed

    override fun toString(): String = "got $attempts attempts in $windowMs ms, expected at most ${"%.2f".format(Locale.ROOT, allowed)}"
}

/**
 * Leaky bucket that finds the windows with too many attempts among those without a period whose burst exceeds [burst].
 *
 * Of all such windows that end at an attempt, the one that exceeds the rate most starts where [level] was last zero. A period
 * with a greater burst empties the bucket, so no window extends over it.
 */
private class LeakyBucket(
    private val burst: Double,
    private val periods: List<RatePeriod>,
) {
    private var level = 0.0
    private var attempts = 0
    private var windowStartMs = 0L
    private var lastMs = 0L

    /** Adds an attempt at [atMs] and returns the overrun that it causes, if any. */
    fun add(atMs: Long): WindowOverrun? {
        advanceTo(atMs)
        if (periods.last { it.fromMs <= atMs }.burst > burst) return null
        if (level == 0.0) startWindow(atMs)
        attempts++
        level += 1
        if (level <= burst + EPSILON) return null
        return WindowOverrun(attempts, atMs - windowStartMs, attempts - level + burst)
    }

    private fun startWindow(atMs: Long) {
        attempts = 0
        windowStartMs = atMs
    }

    private fun advanceTo(atMs: Long) {
        for ((index, period) in periods.withIndex()) {
            val endMs = periods.getOrNull(index + 1)?.fromMs ?: Long.MAX_VALUE
            val fromMs = maxOf(period.fromMs, lastMs)
            if (endMs <= fromMs || fromMs > atMs) continue
            level = if (period.burst > burst) 0.0 else levelAfter(minOf(endMs, atMs) - fromMs, period)
        }
        lastMs = atMs
    }

    private fun levelAfter(
        elapsedMs: Long,
        period: RatePeriod,
    ): Double = maxOf(0.0, level - period.ratePerS * elapsedMs / MS_PER_S)
}

private fun ratePeriods(
    workspace: WorkspaceId,
    accepted: List<Observation.ConfigurationAccepted>,
    bounds: InvariantBounds,
): List<RatePeriod> {
    val changes = accepted.map { it.atMs to it.configuration.planOf(workspace) }
    val times = accepted.flatMap { listOf(it.atMs, it.atMs + bounds.inForceMs) }.toSortedSet()
    return listOf(RatePeriod(0, 0.0, 0.0)) +
        times.map { fromMs ->
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
    val propagating = changes.filter { it.first <= atMs && atMs < it.first + bounds.inForceMs }
    return (listOfNotNull(settled) + propagating).mapNotNull { it.second }
}

private fun OperatorConfiguration.planOf(workspace: WorkspaceId): Plan? {
    val customer = customers.firstOrNull { it.workspace == workspace } ?: return null
    return plans.firstOrNull { it.id == customer.plan }
}
