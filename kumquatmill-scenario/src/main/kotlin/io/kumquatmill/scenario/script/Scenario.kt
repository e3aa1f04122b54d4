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
import io.kumquatmill.scenario.virtual.CompletedCall
import io.kumquatmill.scenario.virtual.NodeFactory
import io.kumquatmill.scenario.virtual.Simulation
import io.kumquatmill.scenario.virtual.VirtualCaller
import io.kumquatmill.store.StoreCall
import kotlin.random.Random

/** A deployment, the load on it and the steps that happen meanwhile, such as failures; created by [scenario]. */
class Scenario internal constructor(
    val name: String,
    val deployment: Deployment,
    val configuration: OperatorConfiguration,
    val loads: List<CallerLoad>,
    val steps: List<ScenarioStep>,
    val warmUpMs: Long,
    val lengthMs: Long,
) {
    /**
     * Simulates the scenario with nodes of [nodeFactory] and checks all invariants; the same [seed] gives the same result.
     *
     * [onDecision] gets the time in milliseconds, the host and each entry of its decision log.
     */
    fun run(
        seed: Long,
        nodeFactory: NodeFactory,
        bounds: InvariantBounds = InvariantBounds(),
        onDecision: (Long, HostId, Decision) -> Unit = { _, _, _ -> },
    ): ScenarioResult {
        val simulation = Simulation(deployment, nodeFactory, seed, ::decodeConfiguration, onDecision)
        val completedCalls = mutableListOf<CompletedCall>()
        val callers = createCallers(simulation, Random(seed)) { completedCalls += it }
        storeConfiguration(simulation)
        deployment.entryHosts.forEach { simulation.startHost(it.host) }
        simulation.time.at(warmUpMs) { callers.forEach { it.start() } }
        scheduleSteps(simulation, callers)
        val endMs = warmUpMs + lengthMs
        simulation.time.runUntil(endMs)
        val history = History(deployment.topology, simulation.observations, endMs)
        return ScenarioResult(
            name = name,
            seed = seed,
            history = history,
            calls = completedCalls.toList(),
            violations = history.violations(allInvariants(bounds)),
            warmUpMs = warmUpMs,
            peerMessageCount = simulation.peerMessageCount,
            storeCallCount =
                simulation.store.service.callCounts.values
                    .sum(),
        )
    }

    private fun createCallers(
        simulation: Simulation,
        random: Random,
        onCompleted: (CompletedCall) -> Unit,
    ): List<VirtualCaller> =
        loads.mapIndexed { index, load ->
            VirtualCaller(load, "r$index", simulation, Random(random.nextLong()), onCompleted)
        }

    private fun storeConfiguration(simulation: Simulation) {
        simulation.store.callAsOperator(
            StoreCall.CompareAndSwap(ConfigurationDocument.KEY, StoreCall.NO_REVISION, encodeConfiguration(configuration)),
        )
    }

    private fun scheduleSteps(
        simulation: Simulation,
        callers: List<VirtualCaller>,
    ) {
        val context =
            ActionContext(
                decodeConfiguration = ::decodeConfiguration,
                scaleLoad = { workspace, factor ->
                    callers.filter { it.load.workspace == workspace }.forEach { it.ratePerS = it.load.ratePerS * factor }
                },
            )
        val actions = ScenarioActions(simulation, context, ::encodeConfiguration)
        steps.forEach { step -> simulation.time.at(warmUpMs + step.atMs) { step.action(actions) } }
    }

    private fun encodeConfiguration(configuration: OperatorConfiguration): String =
        encodeDocument(ConfigurationDocument(configuration.plans, configuration.customers))

    private fun decodeConfiguration(text: String): OperatorConfiguration =
        decodeDocument(text).fold({
            error(it.message)
        }, { it.configuration })
}
