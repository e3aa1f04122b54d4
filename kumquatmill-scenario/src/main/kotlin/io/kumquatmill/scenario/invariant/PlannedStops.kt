package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "planned-stops"

/**
 * A host that is told to stop in an orderly way cuts no request.
 *
 * A host that is killed before it has stopped isn't counted, nor are requests of its lives before and after the stop.
 */
fun plannedStops(): Invariant =
    Invariant(NAME) { history ->
        val sentAtMs = history.all<Observation.RequestSent>().associate { it.request to it.atMs }
        history
            .all<Observation.CallerDisconnected>()
            .filter { !it.hasTimedOut && history.isCutByStop(it, sentAtMs[it.request] ?: 0) }
            .map { Violation(NAME, it.atMs, "${it.request} was cut when ${it.host} stopped, expected an answer") }
    }

private fun History.isCutByStop(
    cut: Observation.CallerDisconnected,
    sentAtMs: Long,
): Boolean {
    val stop = all<Observation.HostStopping>().lastOrNull { it.host == cut.host && it.atMs <= cut.atMs } ?: return false
    val sinceStopMs = stop.atMs..cut.atMs
    val startedAgain = all<Observation.HostStarted>().firstOrNull { it.host == cut.host && it.atMs in sinceStopMs }
    val end = all<Observation.HostEnded>().firstOrNull { it.host == cut.host && it.atMs in sinceStopMs }
    val isOfLaterLife = startedAgain != null && sentAtMs >= startedAgain.atMs
    return !isOfLaterLife && end?.wasKilled != true
}
