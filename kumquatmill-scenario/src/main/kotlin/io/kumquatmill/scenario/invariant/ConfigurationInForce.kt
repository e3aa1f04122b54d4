package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.HostId
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "configuration-in-force"

/**
 * An accepted configuration is in force on every reachable host within the stated time, and no host ever goes back.
 *
 * [History.observations] hold [Observation.RevisionInForce] only for hosts that serve: a host that knows it is cut
 * off and refuses is not counted.
 */
fun configurationInForce(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history -> reversions(history) + lateHosts(history, bounds) }

private fun reversions(history: History): List<Violation> {
    val highest = HashMap<HostId, Long>()
    return history.observations.mapNotNull { observation ->
        when (observation) {
            is Observation.HostStarted -> null.also { highest -= observation.host }
            is Observation.RevisionInForce -> reversion(highest, observation)
            else -> null
        }
    }
}

private fun reversion(
    highest: MutableMap<HostId, Long>,
    report: Observation.RevisionInForce,
): Violation? {
    val before = highest[report.host] ?: 0
    highest[report.host] = maxOf(before, report.revision)
    if (report.revision >= before) return null
    return Violation(NAME, report.atMs, "${report.host} serves revision ${report.revision} after $before, expected no return")
}

private fun lateHosts(
    history: History,
    bounds: InvariantBounds,
): List<Violation> {
    val accepted = history.all<Observation.ListsAccepted>()
    return history.all<Observation.RevisionInForce>().mapNotNull { report ->
        val due = accepted.lastOrNull { it.atMs + bounds.inForceMs <= report.atMs } ?: return@mapNotNull null
        if (report.revision >= due.revision) return@mapNotNull null
        Violation(NAME, report.atMs, "${report.host} serves revision ${report.revision}, expected at least ${due.revision}")
    }
}
