package io.kumquatmill.scenario.script

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.wireName
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.invariant.Violation
import io.kumquatmill.scenario.virtual.CallEnd

/** What came out of one run of a scenario. */
data class ScenarioResult(
    val name: String,
    val seed: Long,
    val history: History,
    val calls: List<CallEnd>,
    val violations: List<Violation>,
    val warmUpMs: Long,
    val peerMessageCount: Long,
    val storeCallCount: Long,
) {
    /** Returns the calls that started between [fromMs] and [untilMs] after the load had started. */
    fun callsBetween(
        fromMs: Long,
        untilMs: Long,
    ): List<CallEnd> = calls.filter { it.startedAtMs - warmUpMs in fromMs until untilMs }

    /** Returns how many calls ended in each outcome, by the name of the outcome and reason. */
    fun outcomeCounts(): Map<String, Int> = calls.groupingBy { it.outcome.describe() }.eachCount()
}

/** Returns the part of these calls that did not get an answer; 0 when there are none. */
fun List<CallEnd>.refusedFraction(): Double = if (isEmpty()) 0.0 else count { it.outcome !is Outcome.Answered }.toDouble() / size

/** Returns the latency at [fraction] of the answered calls, in milliseconds; 0 when there are none. */
fun List<CallEnd>.latencyMs(fraction: Double): Long {
    val latencies = filter { it.outcome is Outcome.Answered }.map { it.latencyMs }.sorted()
    if (latencies.isEmpty()) return 0
    return latencies[(fraction * (latencies.size - 1)).toInt()]
}

private fun Outcome?.describe(): String =
    when (this) {
        null -> "disconnected"
        is Outcome.Answered -> wireName
        is Outcome.NotRun -> "$wireName ${reason.wireName}"
        is Outcome.Unknown -> "$wireName ${reason.wireName}"
    }
