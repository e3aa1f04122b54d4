package io.kumquatmill.bench.check

import io.kumquatmill.bench.experiment.EventAction
import io.kumquatmill.bench.experiment.Experiment
import io.kumquatmill.bench.measure.RunMeasures
import io.kumquatmill.bench.measure.runExperiment
import io.kumquatmill.bench.policy.Policies

private const val MAX_WRONGFUL_FRACTION_UNDER_FAILURE = 0.001
private const val MAX_WRONGFUL_AFTER_MS = 10_000.0
private const val MAX_WORST_TO_MEDIAN_P99 = 1.25
private const val MIN_RATE_USED = 0.95
private const val MS_PER_S = 1_000.0

/** Actions that change the load and cause no failure. */
private val LOAD_ACTIONS = setOf(EventAction.SCALE_LOAD)

/** Runs [experiments] with all mechanisms enabled and returns their bounds. */
internal fun experimentBounds(experiments: List<Experiment>): List<Bound> =
    experiments.flatMap { experiment ->
        experiment.seeds.flatMap { seed -> boundsOf(experiment, runExperiment(experiment, Policies.FULL, seed)) }
    }

/** Returns the bounds that apply to a [run] of [experiment]. */
internal fun boundsOf(
    experiment: Experiment,
    run: RunMeasures,
): List<Bound> {
    val name = "${experiment.name}, seed ${run.seed}"
    val violations =
        Bound(
            "$name: violations of invariants",
            run.violations.values
                .sum()
                .toDouble(),
            0.0,
        )
    val failures = experiment.events.filterNot { it.action in LOAD_ACTIONS }
    val specific =
        when {
            failures.isNotEmpty() -> failureBounds(name, run, lastFailureMs = failures.maxOf { it.atS } * MS_PER_S)
            experiment.events.isNotEmpty() ->
                listOf(
                    Bound("$name: worst p99 to the median one's", run.worstToMedianP99, MAX_WORST_TO_MEDIAN_P99),
                )
            isAboveRate(experiment) -> listOf(Bound("$name: least part of a rate used", run.leastRateUsed, MIN_RATE_USED, isUpper = false))
            else -> listOf(Bound("$name: requests refused inside their rate", run.wrongfulRefusals.toDouble(), 0.0))
        }
    return listOf(violations) + specific
}

private fun failureBounds(
    name: String,
    run: RunMeasures,
    lastFailureMs: Double,
): List<Bound> {
    val lastRefusalDelayMs = run.lastWrongfulMs?.let { it - lastFailureMs } ?: 0.0
    return listOf(
        Bound(
            "$name: part of the requests inside their rate that were refused",
            run.wrongfulRefusalFraction,
            MAX_WRONGFUL_FRACTION_UNDER_FAILURE,
        ),
        Bound("$name: ms from the last failure to the last of them", lastRefusalDelayMs, MAX_WRONGFUL_AFTER_MS),
    )
}

private fun isAboveRate(experiment: Experiment): Boolean =
    experiment.plans.any { plan -> experiment.loads.filter { it.workspace == plan.workspace }.sumOf { it.ratePerS } > plan.ratePerS }
