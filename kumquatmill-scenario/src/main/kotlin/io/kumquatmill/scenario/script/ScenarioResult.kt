package io.kumquatmill.scenario.script

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.wireName
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.invariant.Violation
import io.kumquatmill.scenario.virtual.CompletedCall

/** Result of one run of a scenario. */
data class ScenarioResult(
    val name: String,
    val seed: Long,
    val history: History,
    val calls: List<CompletedCall>,
    val violations: List<Violation>,
    val warmUpMs: Long,
    val peerMessageCount: Long,
    val storeCallCount: Long,
) {
    /** Returns the calls that started from [fromMs] until before [untilMs], relative to the start of the load. */
    fun callsBetween(
        fromMs: Long,
        untilMs: Long,
    ): List<CompletedCall> = calls.filter { it.startedAtMs - warmUpMs in fromMs until untilMs }

    /** Returns the number of calls by the names of their outcome and its reason. */
    fun outcomeCounts(): Map<String, Int> = calls.groupingBy { it.outcome.describe() }.eachCount()
}

/** Returns the fraction of these calls without a complete response; 0 if there are no calls. */
fun List<CompletedCall>.unansweredFraction(): Double = if (isEmpty()) 0.0 else count { it.outcome !is Outcome.Answered }.toDouble() / size

/** Returns the latency quantile at [fraction], from 0 to 1, of the answered calls in milliseconds; 0 if there are none. */
fun List<CompletedCall>.latencyMs(fraction: Double): Long {
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
