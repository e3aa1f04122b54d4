package io.kumquatmill.scenario.script

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.scenario.virtual.CallEnd

private const val MS_PER_S = 1_000.0

/**
 * Returns the calls that were inside their workspace's rate and burst, and still did not get an answer.
 *
 * A call is inside if one bucket for the whole fleet, with the plan of [lists], would have had a token for it when the
 * caller sent it. Calls without a workspace are always inside.
 */
fun ScenarioResult.wrongfulRefusals(lists: OperatorConfiguration): List<CallEnd> =
    calls
        .groupBy { it.load.workspaceId }
        .flatMap { (workspace, ofWorkspace) -> insideRate(ofWorkspace, lists.planFor(workspace)) }
        .filter { it.outcome !is Outcome.Answered }

private fun insideRate(
    calls: List<CallEnd>,
    plan: Plan?,
): List<CallEnd> {
    val ordered = calls.sortedBy { it.startedAtMs }
    if (plan == null) return ordered
    var level = plan.burst.toDouble()
    var lastMs = 0L
    return ordered.filter { call ->
        level = minOf(plan.burst.toDouble(), level + plan.ratePerS * (call.startedAtMs - lastMs) / MS_PER_S)
        lastMs = call.startedAtMs
        val isInside = level >= 1.0
        if (isInside) level -= 1.0
        isInside
    }
}

private fun OperatorConfiguration.planFor(workspace: WorkspaceId?): Plan? {
    val customer = customers.firstOrNull { it.workspace == workspace } ?: return null
    return plans.first { it.id == customer.plan }
}
