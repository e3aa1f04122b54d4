package io.kumquatmill.scenario.script

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.scenario.virtual.NetworkFaults
import io.kumquatmill.scenario.virtual.Simulation
import io.kumquatmill.scenario.virtual.WorkerBehaviour
import io.kumquatmill.standins.platform.StoreFaults
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreReply

/** Actions of a scenario; each one takes effect at the time of its step. */
@KumquatmillDsl
class ScenarioActions internal constructor(
    private val simulation: Simulation,
    private val context: ActionContext,
    private val encodeConfiguration: (OperatorConfiguration) -> String,
) {
    /** Kills the process of an entry host. */
    fun kill(host: String) = simulation.host(HostId(host)).kill()

    /** Starts the process of an entry host without any state of an earlier process. */
    fun start(host: String) = simulation.startHost(HostId(host))

    /** Starts the process of an entry host if it is not running. */
    fun startIfEnded(host: String) {
        if (!simulation.host(HostId(host)).isRunning) start(host)
    }

    /** Asks an entry host to stop gracefully. */
    fun stop(host: String) = simulation.host(HostId(host)).stop()

    /** Pauses the process of an entry host; its events are buffered. */
    fun freeze(host: String) = simulation.host(HostId(host)).freeze()

    /** Resumes a frozen process, which still has the state from before the freeze. */
    fun unfreeze(host: String) = simulation.host(HostId(host)).unfreeze()

    /** Partitions a region from all other regions. */
    fun partitionRegion(region: String) = network { copy(partitionedRegions = partitionedRegions + RegionId(region)) }

    /** Reconnects a partitioned region. */
    fun healRegion(region: String) = network { copy(partitionedRegions = partitionedRegions - RegionId(region)) }

    /** Partitions an entry host from the key-value store only. */
    fun partitionFromStore(host: String) = network { copy(partitionedPairs = partitionedPairs + (host to "store")) }

    /** Reconnects an entry host to the key-value store. */
    fun healStorePartition(host: String) = network { copy(partitionedPairs = partitionedPairs - (host to "store")) }

    /** Sets the faults of messages between entry hosts; the defaults remove them. */
    fun peerFaults(
        lossRate: Double = 0.0,
        duplicationRate: Double = 0.0,
        extraDelayMs: Long = 0,
    ) = network { copy(lossRate = lossRate, duplicationRate = duplicationRate, extraDelayMs = extraDelayMs) }

    /** Makes the key-value store unavailable. */
    fun storeDown() = store { copy(isDown = true) }

    /** Makes the key-value store available again. */
    fun storeUp() = store { copy(isDown = false) }

    /** Delays each call to the key-value store by [delayMs]; 0 removes the delay. */
    fun delayStore(delayMs: Long) = store { copy(delayMs = delayMs) }

    /** Loses the responses of the key-value store to the next [count] writes after they took effect. */
    fun loseStoreResponses(count: Int) = simulation.store.service.loseNextWriteResponses(count)

    /** Starts to drain a worker. */
    fun drainWorker(worker: String) {
        simulation.observe(Observation.WorkerLeaving(simulation.time.nowMs, WorkerId(worker)))
        worker(worker) { copy(isDraining = true) }
    }

    /** Kills the process of a worker. */
    fun killWorker(worker: String) = simulation.workers.getValue(WorkerId(worker)).kill()

    /** Kills all workers of a region. */
    fun killWorkersIn(region: String) =
        simulation.workers.values
            .filter { it.worker.region.value == region }
            .forEach { it.kill() }

    /** Kills all workers and entry hosts of a region. */
    fun killRegion(region: String) {
        killWorkersIn(region)
        simulation
            .runningHosts()
            .filter { it.endpoint.region.value == region }
            .forEach { it.kill() }
    }

    /** Replaces the behaviour of a worker by the result of [change]. */
    fun worker(
        worker: String,
        change: WorkerBehaviour.() -> WorkerBehaviour,
    ) {
        val target = simulation.workers.getValue(WorkerId(worker))
        target.behaviour = target.behaviour.change()
    }

    /** Sets the rate of each load of [workspace] to [factor] times its initial rate. */
    fun scaleLoad(
        workspace: String,
        factor: Double,
    ) = context.scaleLoad(workspace, factor)

    /** Edits the configuration as an operator; returns false if the key-value store did not accept the edit. */
    fun edit(change: OperatorConfiguration.() -> OperatorConfiguration): Boolean {
        val read =
            simulation.store.callAsOperator(StoreCall.Read(ConfigurationDocument.KEY)).getOrNull() as? StoreReply.Entry ?: return false
        val entry = read.entry ?: return false
        val edited = context.decodeConfiguration(entry.value).change()
        val call = StoreCall.CompareAndSwap(ConfigurationDocument.KEY, entry.revision, encodeConfiguration(edited))
        return simulation.store.callAsOperator(call).isRight()
    }

    /** Withdraws all keys of [workspace]. */
    fun withdrawKeys(workspace: String): Boolean =
        edit { copy(customers = customers.map { if (it.workspace.value == workspace) it.copy(keyHashes = emptySet()) else it }) }

    /** Grants [workspace] the key that its callers send, and resets its customer entry. */
    fun grantKeys(workspace: String): Boolean =
        edit { copy(customers = customers.map { if (it.workspace.value == workspace) customerOf(workspace) else it }) }

    /** Multiplies the rate and burst of the plan of [workspace] by [factor]. */
    fun scalePlan(
        workspace: String,
        factor: Double,
    ): Boolean = edit { copy(plans = plans.map { if (it.id == customerOf(workspace).plan) it.scaled(factor) else it }) }

    private fun network(change: NetworkFaults.() -> NetworkFaults) {
        simulation.network.faults = simulation.network.faults.change()
    }

    private fun store(change: StoreFaults.() -> StoreFaults) {
        simulation.store.service.faults =
            simulation.store.service.faults
                .change()
    }
}

/** Functions of the running scenario that its actions use. */
internal class ActionContext(
    val decodeConfiguration: (String) -> OperatorConfiguration,
    val scaleLoad: (workspace: String, factor: Double) -> Unit,
)

private fun Plan.scaled(factor: Double): Plan = copy(ratePerS = ratePerS * factor, burst = (burst * factor).toInt().coerceAtLeast(1))
