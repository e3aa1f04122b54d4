package io.kumquatmill.scenario.script

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.virtual.VirtualCaller

private const val HEADROOM_FACTOR = 2.0
private const val MIN_BURST = 10

/** Returns a configuration in which each workspace of [loads] has its own plan, with [HEADROOM_FACTOR] times the rate of its load. */
internal fun configurationFor(
    deployment: Deployment,
    loads: List<CallerLoad>,
): OperatorConfiguration {
    val ratePerSByWorkspace =
        loads
            .filter { it.workspace != null }
            .groupBy { checkNotNull(it.workspace) }
            .mapValues { (_, all) -> all.sumOf { it.ratePerS } * HEADROOM_FACTOR }
    val routes =
        deployment.topology.routes
            .map { it.id }
            .toSet()
    return OperatorConfiguration(
        plans =
            ratePerSByWorkspace.map { (workspace, ratePerS) ->
                Plan(PlanId("plan-$workspace"), ratePerS, burst = ratePerS.toInt().coerceAtLeast(MIN_BURST), routes)
            },
        customers = ratePerSByWorkspace.keys.map(::customerOf),
    )
}

/** Returns the customer of [workspace] with its own plan and the key that its callers send. */
fun customerOf(workspace: String): Customer =
    Customer(WorkspaceId(workspace), PlanId("plan-$workspace"), setOf(KeyHash.of(VirtualCaller.keyOf(workspace))))

/** Returns the plan of [workspace], which allows all routes of [deployment]. */
fun planOf(
    deployment: Deployment,
    workspace: String,
    ratePerS: Double,
    burst: Int,
): Plan =
    Plan(
        id = PlanId("plan-$workspace"),
        ratePerS = ratePerS,
        burst = burst,
        routes =
            deployment.topology.routes
                .map { it.id }
                .toSet(),
    )
