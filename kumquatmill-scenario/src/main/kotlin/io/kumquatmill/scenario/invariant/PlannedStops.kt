package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.Observation

private const val NAME = "planned-stops"

/** A host that is told to stop in an orderly way cuts no request. */
fun plannedStops(): Invariant =
    Invariant(NAME) { history ->
        val stopping = history.all<Observation.HostStopping>().map { it.host }.toSet()
        val killed =
            history
                .all<Observation.HostEnded>()
                .filter { it.wasKilled }
                .map { it.host }
                .toSet()
        history
            .all<Observation.CallerDisconnected>()
            .filter { !it.hasTimedOut && it.host in stopping && it.host !in killed }
            .map { Violation(NAME, it.atMs, "${it.request} was cut when ${it.host} stopped, expected an answer") }
    }
