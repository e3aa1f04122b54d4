package io.kumquatmill.scenario.script

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.scenario.virtual.CompletedCall

private const val MS_PER_S = 1_000.0

/**
 * Returns the calls within the rate and burst of their workspace that did not get a complete response, for whatever reason.
 *
 * A call is within the rate if a single token bucket for the whole fleet, with the plan in [configuration], had a token for it
 * when the caller sent it. Calls without a plan, such as those without a workspace, are always within the rate.
 */
fun ScenarioResult.wrongfulRefusals(configuration: OperatorConfiguration): List<CompletedCall> =
    calls
        .groupBy { it.load.workspaceId }
        .flatMap { (workspace, workspaceCalls) -> callsWithinRate(workspaceCalls, configuration.planFor(workspace)) }
        .filter { it.outcome !is Outcome.Answered }

private fun callsWithinRate(
    calls: List<CompletedCall>,
    plan: Plan?,
): List<CompletedCall> {
    val ordered = calls.sortedBy { it.startedAtMs }
    if (plan == null) return ordered
    var tokens = plan.burst.toDouble()
    var lastMs = 0L
    return ordered.filter { call ->
        tokens = minOf(plan.burst.toDouble(), tokens + plan.ratePerS * (call.startedAtMs - lastMs) / MS_PER_S)
        lastMs = call.startedAtMs
        val isWithinRate = tokens >= 1.0
        if (isWithinRate) tokens -= 1.0
        isWithinRate
    }
}

private fun OperatorConfiguration.planFor(workspace: WorkspaceId?): Plan? {
    val customer = customers.firstOrNull { it.workspace == workspace } ?: return null
    return plans.first { it.id == customer.plan }
}
