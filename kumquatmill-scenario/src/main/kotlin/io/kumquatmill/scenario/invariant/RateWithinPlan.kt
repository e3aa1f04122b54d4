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
    val windows = periods.map { it.burst }.distinct().map { BurstWindow(it, periods) }
    return arrivals.mapNotNull { arrival ->
        val breach = windows.mapNotNull { it.add(arrival.atMs) }.maxByOrNull { it.excess } ?: return@mapNotNull null
        Violation(NAME, arrival.atMs, "$workspace $breach")
    }
}

/** More attempts in a window than the plan allows. */
private data class Breach(
    val attempts: Int,
    val windowMs: Long,
    val allowed: Double,
) {
    val excess: Double
        get() = attempts - allowed

    override fun toString(): String = "got $attempts attempts in $windowMs ms, expected at most ${"%.2f".format(Locale.ROOT, allowed)}"
}

/**
 * The windows in which no burst above [burst] counts, seen from their ends.
 *
 * Of these windows that end at an attempt, the one that passes the rate by most begins where [aboveRate] was last zero.
 * Periods with a greater burst end all windows.
 */
private class BurstWindow(
    private val burst: Double,
    private val periods: List<RatePeriod>,
) {
    private var aboveRate = 0.0
    private var attempts = 0
    private var firstMs = 0L
    private var lastMs = 0L

    /** Adds an attempt at [atMs] and returns the breach that it makes, if any. */
    fun add(atMs: Long): Breach? {
        elapse(atMs)
        if (periods.last { it.fromMs <= atMs }.burst > burst) return null
        if (aboveRate == 0.0) restart(atMs)
        attempts++
        aboveRate += 1
        if (aboveRate <= burst + EPSILON) return null
        return Breach(attempts, atMs - firstMs, attempts - aboveRate + burst)
    }

    private fun restart(atMs: Long) {
        attempts = 0
        firstMs = atMs
    }

    private fun elapse(atMs: Long) {
        for ((index, period) in periods.withIndex()) {
            val endMs = periods.getOrNull(index + 1)?.fromMs ?: Long.MAX_VALUE
            val fromMs = maxOf(period.fromMs, lastMs)
            if (endMs <= fromMs || fromMs > atMs) continue
            aboveRate = if (period.burst > burst) 0.0 else after(minOf(endMs, atMs) - fromMs, period)
        }
        lastMs = atMs
    }

    private fun after(
        elapsedMs: Long,
        period: RatePeriod,
    ): Double = maxOf(0.0, aboveRate - period.ratePerS * elapsedMs / MS_PER_S)
}

private fun ratePeriods(
    workspace: WorkspaceId,
    accepted: List<Observation.ListsAccepted>,
    bounds: InvariantBounds,
): List<RatePeriod> {
    val changes = accepted.map { it.atMs to it.lists.planOf(workspace) }
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
    val spreading = changes.filter { it.first <= atMs && atMs < it.first + bounds.inForceMs }
    return (listOfNotNull(settled) + spreading).mapNotNull { it.second }
}

private fun OperatorConfiguration.planOf(workspace: WorkspaceId): Plan? {
    val customer = customers.firstOrNull { it.workspace == workspace } ?: return null
    return plans.firstOrNull { it.id == customer.plan }
}
