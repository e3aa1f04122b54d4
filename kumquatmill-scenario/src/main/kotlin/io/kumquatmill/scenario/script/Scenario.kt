package io.kumquatmill.scenario.script

import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.invariant.InvariantBounds
import io.kumquatmill.scenario.invariant.allInvariants
import io.kumquatmill.scenario.invariant.violations
import io.kumquatmill.scenario.virtual.CallEnd
import io.kumquatmill.scenario.virtual.NodeFactory
import io.kumquatmill.scenario.virtual.VirtualCaller
import io.kumquatmill.scenario.virtual.VirtualWorld
import io.kumquatmill.store.StoreCall
import kotlin.random.Random

/** A script of what happens to a deployment under load; see [scenario]. */
class Scenario internal constructor(
    val name: String,
    val deployment: Deployment,
    val lists: OperatorConfiguration,
    val loads: List<CallerLoad>,
    val steps: List<ScenarioStep>,
    val warmUpMs: Long,
    val lengthMs: Long,
) {
    /** Runs the script with nodes of [nodeFactory]; the same [seed] gives the same result. */
    fun run(
        seed: Long,
        nodeFactory: NodeFactory,
        bounds: InvariantBounds = InvariantBounds(),
        onDecision: (Long, HostId, Decision) -> Unit = { _, _, _ -> },
    ): ScenarioResult {
        val world = VirtualWorld(deployment, nodeFactory, seed, ::decodeLists, onDecision)
        val ends = mutableListOf<CallEnd>()
        val callers = createCallers(world, Random(seed)) { ends += it }
        storeLists(world)
        deployment.entryHosts.forEach { world.startHost(it.host) }
        world.time.at(warmUpMs) { callers.forEach { it.start() } }
        scheduleSteps(world, callers)
        val endMs = warmUpMs + lengthMs
        world.time.runUntil(endMs)
        val history = History(deployment.topology, world.observations, endMs)
        return ScenarioResult(
            name = name,
            seed = seed,
            history = history,
            calls = ends.toList(),
            violations = history.violations(allInvariants(bounds)),
            warmUpMs = warmUpMs,
            peerMessageCount = world.peerMessageCount,
            storeCallCount =
                world.store.service.callCounts.values
                    .sum(),
        )
    }

    private fun createCallers(
        world: VirtualWorld,
        random: Random,
        onEnd: (CallEnd) -> Unit,
    ): List<VirtualCaller> =
        loads.mapIndexed { index, load ->
            VirtualCaller(load, "r$index", world, Random(random.nextLong()), onEnd)
        }

    private fun storeLists(world: VirtualWorld) {
        world.store.callAsOperator(StoreCall.CompareAndSwap(ConfigurationDocument.KEY, StoreCall.NO_REVISION, encodeLists(lists)))
    }

    private fun scheduleSteps(
        world: VirtualWorld,
        callers: List<VirtualCaller>,
    ) {
        val control =
            CallerControl(
                decodeLists = ::decodeLists,
                scale = { workspace, factor ->
                    callers.filter { it.load.workspace == workspace }.forEach { it.ratePerS = it.load.ratePerS * factor }
                },
            )
        val actions = ScenarioActions(world, control, ::encodeLists)
        steps.forEach { step -> world.time.at(warmUpMs + step.atMs) { step.action(actions) } }
    }

    private fun encodeLists(lists: OperatorConfiguration): String = encodeDocument(ConfigurationDocument(lists.plans, lists.customers))

    private fun decodeLists(text: String): OperatorConfiguration = decodeDocument(text).fold({ error(it.message) }, { it.configuration })
}
