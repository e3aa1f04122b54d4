package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.HostId
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "configuration-in-force"

/**
 * An accepted configuration is in force on every serving host within [InvariantBounds.inForceMs], and no host returns to an
 * older revision.
 *
 * Hosts that do not serve report no [Observation.RevisionInForce], so a host that refuses requests because it is isolated is
 * not checked.
 */
fun configurationInForce(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history -> regressions(history) + lateHosts(history, bounds) }

private fun regressions(history: History): List<Violation> {
    val highest = HashMap<HostId, Long>()
    return history.observations.mapNotNull { observation ->
        when (observation) {
            is Observation.HostStarted -> null.also { highest -= observation.host }
            is Observation.RevisionInForce -> checkRegression(highest, observation)
            else -> null
        }
    }
}

private fun checkRegression(
    highest: MutableMap<HostId, Long>,
    report: Observation.RevisionInForce,
): Violation? {
    val before = highest[report.host] ?: 0
    highest[report.host] = maxOf(before, report.revision)
    if (report.revision >= before) return null
    return Violation(NAME, report.atMs, "${report.host} serves revision ${report.revision} after $before, expected no older revision")
}

private fun lateHosts(
    history: History,
    bounds: InvariantBounds,
): List<Violation> {
    val accepted = history.observationsOf<Observation.ConfigurationAccepted>()
    return history.observationsOf<Observation.RevisionInForce>().mapNotNull { report ->
        val due = accepted.lastOrNull { it.atMs + bounds.inForceMs <= report.atMs } ?: return@mapNotNull null
        if (report.revision >= due.revision) return@mapNotNull null
        Violation(NAME, report.atMs, "${report.host} serves revision ${report.revision}, expected at least ${due.revision}")
    }
}
