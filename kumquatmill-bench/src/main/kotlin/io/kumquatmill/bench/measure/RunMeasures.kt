package io.kumquatmill.bench.measure

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.scenario.script.ScenarioResult
import io.kumquatmill.scenario.script.latencyMs
import kotlinx.serialization.Serializable

/**
 * Results of one run of an experiment under one policy.
 *
 * @property worstToMedianP99 largest p99 latency of the workspaces inside their rate, divided by the median one
 * @property wrongfulRefusals calls that were refused although they were inside the rate of their workspace
 * @property lastWrongfulMs start of the last such call, in milliseconds since the start of the load
 * @property leastRateUsed smallest fraction of a workspace's calls inside its rate that were not refused
 * @property unknownOutcomes calls without an outcome, or of which it is unknown whether they were executed
 * @property drainMs longest drain of a worker or host, or null if none drained
 * @property leastFreeSlots minimum number of free worker slots by region
 * @property violations number of violations by invariant
 */
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
    /** Fraction of the calls inside their rate that were refused. */
    val wrongfulRefusalFraction: Double
        get() = if (callsInsideRate == 0) 0.0 else wrongfulRefusals.toDouble() / callsInsideRate
}

/** Returns the results of this run under [policy]; [allowed] has the rates by workspace. */
internal fun ScenarioResult.measures(
    policy: String,
    allowed: Map<String, AllowedRate>,
): RunMeasures {
    val usageByWorkspace =
        allowed.mapValues { (workspace, rate) ->
            rateUsage(calls.filter { it.load.workspace == workspace }, rate, warmUpMs)
        }
    val usages = usageByWorkspace.values
    return RunMeasures(
        experiment = name,
        policy = policy,
        seed = seed,
        calls = calls.size,
        p50Ms = calls.latencyMs(P50),
        p99Ms = calls.latencyMs(P99),
        p999Ms = calls.latencyMs(P999),
        worstToMedianP99 = worstToMedianP99(usageByWorkspace.filterValues { it.isInsideRate }.keys),
        callsInsideRate = usages.sumOf { it.callsInsideRate },
        wrongfulRefusals = usages.sumOf { it.wrongfulRefusals },
        lastWrongfulMs = usages.mapNotNull { it.lastWrongfulMs }.maxOrNull(),
        leastRateUsed = usages.minOf { it.usedFraction },
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
            .map { (_, all) -> all.latencyMs(P99) }
            .sorted()
    val medianMs = p99s.getOrNull(p99s.size / 2) ?: return 1.0
    return if (medianMs == 0L) 1.0 else p99s.last().toDouble() / medianMs
}

/** Returns the longest time for which a leaving worker still received attempts or a stopping host kept running. */
private fun ScenarioResult.drainMs(): Long? {
    val arrivals = history.observationsOf<Observation.AttemptArrived>().groupBy { it.worker }
    val workers =
        history.observationsOf<Observation.WorkerLeaving>().map { leaving ->
            val lastMs = arrivals[leaving.worker].orEmpty().maxOfOrNull { it.atMs } ?: leaving.atMs
            maxOf(0, lastMs - leaving.atMs)
        }
    val endedHosts = history.observationsOf<Observation.HostEnded>()
    val hosts =
        history.observationsOf<Observation.HostStopping>().map { stopping ->
            val ended = endedHosts.firstOrNull { it.host == stopping.host && it.atMs >= stopping.atMs }
            (ended?.atMs ?: history.endMs) - stopping.atMs
        }
    return (workers + hosts).maxOrNull()
}

private const val P50 = 0.5
private const val P99 = 0.99
private const val P999 = 0.999
