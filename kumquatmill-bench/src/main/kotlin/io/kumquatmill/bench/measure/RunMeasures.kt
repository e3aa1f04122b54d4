package io.kumquatmill.bench.measure

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.scenario.script.ScenarioResult
import io.kumquatmill.scenario.script.latencyMs
import kotlinx.serialization.Serializable

/** What is measured of one run of an experiment under one policy. */
@Serializable
data class RunMeasures(
    val experiment: String,
    val policy: String,
    val seed: Long,
    val calls: Int,
    val p50Ms: Long,
    val p99Ms: Long,
    val p999Ms: Long,
    val worstToMedianP99: Double,
    val callsInsideRate: Int,
    val wrongfulRefusals: Int,
    val lastWrongfulMs: Long?,
    val leastRateUsed: Double,
    val unknownOutcomes: Int,
    val drainMs: Long?,
    val leastFreeSlots: Map<String, Int>,
    val violations: Map<String, Int>,
) {
    /** Part of the requests inside their rate that were refused. */
    val wrongfulPart: Double
        get() = if (callsInsideRate == 0) 0.0 else wrongfulRefusals.toDouble() / callsInsideRate
}

/** Returns the measures of this run under [policy], with the rates in [allowed]. */
internal fun ScenarioResult.measures(
    policy: String,
    allowed: Map<String, AllowedRate>,
): RunMeasures {
    val uses = allowed.mapValues { (workspace, rate) -> rateUse(calls.filter { it.load.workspace == workspace }, rate, warmUpMs) }
    val use = uses.values
    return RunMeasures(
        experiment = name,
        policy = policy,
        seed = seed,
        calls = calls.size,
        p50Ms = calls.latencyMs(MEDIAN),
        p99Ms = calls.latencyMs(HIGH),
        p999Ms = calls.latencyMs(HIGHEST),
        worstToMedianP99 = worstToMedianP99(uses.filterValues { it.isInsideRate }.keys),
        callsInsideRate = use.sumOf { it.callsInsideRate },
        wrongfulRefusals = use.sumOf { it.wrongfulRefusals },
        lastWrongfulMs = use.mapNotNull { it.lastWrongfulMs }.maxOrNull(),
        leastRateUsed = use.minOf { it.usedPart },
        unknownOutcomes = calls.count { it.outcome == null || it.outcome is Outcome.Unknown },
        drainMs = drainMs(),
        leastFreeSlots = leastFreeSlots(history),
        violations = violations.groupingBy { it.invariant }.eachCount(),
    )
}

private fun ScenarioResult.worstToMedianP99(workspaces: Set<String>): Double {
    val p99s =
        calls
            .filter { it.load.workspace in workspaces }
            .groupBy { it.load.workspace }
            .map { (_, all) -> all.latencyMs(HIGH) }
            .sorted()
    val medianMs = p99s.getOrNull(p99s.size / 2) ?: return 1.0
    return if (medianMs == 0L) 1.0 else p99s.last().toDouble() / medianMs
}

/** Longest time in which a leaving worker still got work, or a stopping host went on. */
private fun ScenarioResult.drainMs(): Long? {
    val arrivals = history.observationsOf<Observation.AttemptArrived>().groupBy { it.worker }
    val workers =
        history.observationsOf<Observation.WorkerLeaving>().map { leaving ->
            val lastMs = arrivals[leaving.worker].orEmpty().maxOfOrNull { it.atMs } ?: leaving.atMs
            maxOf(0, lastMs - leaving.atMs)
        }
    val ends = history.observationsOf<Observation.HostEnded>()
    val hosts =
        history.observationsOf<Observation.HostStopping>().map { stopping ->
            val ended = ends.firstOrNull { it.host == stopping.host && it.atMs >= stopping.atMs }
            (ended?.atMs ?: history.endMs) - stopping.atMs
        }
    return (workers + hosts).maxOrNull()
}

private const val MEDIAN = 0.5
private const val HIGH = 0.99
private const val HIGHEST = 0.999
