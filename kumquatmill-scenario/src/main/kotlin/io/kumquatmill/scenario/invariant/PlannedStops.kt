package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "planned-stops"

/**
 * A host that is asked to stop gracefully disconnects no request.
 *
 * The invariant does not apply to a host that is killed before it has stopped, nor to disconnects before the stop, nor to
 * requests that are sent to a later incarnation of the host.
 */
fun plannedStops(): Invariant =
    Invariant(NAME) { history ->
        val sentAtMs = history.observationsOf<Observation.RequestSent>().associate { it.request to it.atMs }
        history
            .observationsOf<Observation.CallerDisconnected>()
            .filter { !it.hasTimedOut && history.isDisconnectedByStop(it, sentAtMs[it.request] ?: 0) }
            .map { Violation(NAME, it.atMs, "${it.request} was disconnected when ${it.host} stopped, expected a response") }
    }

private fun History.isDisconnectedByStop(
    disconnect: Observation.CallerDisconnected,
    sentAtMs: Long,
): Boolean {
    val stop =
        observationsOf<Observation.HostStopping>().lastOrNull { it.host == disconnect.host && it.atMs <= disconnect.atMs } ?: return false
    val sinceStopMs = stop.atMs..disconnect.atMs
    val startedAgain = observationsOf<Observation.HostStarted>().firstOrNull { it.host == disconnect.host && it.atMs in sinceStopMs }
    val end = observationsOf<Observation.HostEnded>().firstOrNull { it.host == disconnect.host && it.atMs in sinceStopMs }
    val isFromLaterIncarnation = startedAgain != null && sentAtMs >= startedAgain.atMs
    return !isFromLaterIncarnation && end?.wasKilled != true
}
