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
import io.kumquatmill.scenario.virtual.VirtualWorld
import io.kumquatmill.scenario.virtual.WorkerBehaviour
import io.kumquatmill.standins.platform.StoreFaults
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreReply

/** What can happen in a scenario; each call takes effect at the time of its step. */
@KumquatmillDsl
class ScenarioActions internal constructor(
    private val world: VirtualWorld,
    private val callers: CallerControl,
    private val encodeLists: (OperatorConfiguration) -> String,
) {
    /** Kills the process of an entry host. */
    fun kill(host: String) = world.host(HostId(host)).kill()

    /** Starts an entry host again, with nothing left of its earlier life. */
    fun start(host: String) = world.startHost(HostId(host))

    /** Starts an entry host again if it has ended. */
    fun startIfEnded(host: String) {
        if (!world.host(HostId(host)).isRunning) start(host)
    }

    /** Asks an entry host to stop in an orderly way. */
    fun stop(host: String) = world.host(HostId(host)).stop()

    /** Pauses the process of an entry host; what is sent to it waits. */
    fun freeze(host: String) = world.host(HostId(host)).freeze()

    /** Lets a frozen process go on; it believes what it believed before. */
    fun thaw(host: String) = world.host(HostId(host)).thaw()

    /** Cuts a region off from all others. */
    fun cutRegion(region: String) = network { copy(cutRegions = cutRegions + RegionId(region)) }

    /** Connects a region again. */
    fun healRegion(region: String) = network { copy(cutRegions = cutRegions - RegionId(region)) }

    /** Cuts an entry host off from the key-value service only. */
    fun cutFromStore(host: String) = network { copy(cutPairs = cutPairs + (host to "store")) }

    /** Connects an entry host with the key-value service again. */
    fun healStoreLink(host: String) = network { copy(cutPairs = cutPairs - (host to "store")) }

    /** Loses, repeats and delays messages between entry hosts. */
    fun peers(
        lossRate: Double = 0.0,
        duplicationRate: Double = 0.0,
        extraDelayMs: Long = 0,
    ) = network { copy(lossRate = lossRate, duplicationRate = duplicationRate, extraDelayMs = extraDelayMs) }

    /** Stops the key-value service from answering anyone. */
    fun storeDown() = store { copy(isDown = true) }

    /** Lets the key-value service answer again. */
    fun storeUp() = store { copy(isDown = false) }

    /** Delays each answer of the key-value service by [delayMs]. */
    fun storeSlow(delayMs: Long) = store { copy(delayMs = delayMs) }

    /** Loses the answers of the next [count] writes after they took effect. */
    fun loseStoreAnswers(count: Int) = world.store.service.loseNextWriteResponses(count)

    /** Tells a worker to drain. */
    fun drainWorker(worker: String) {
        world.observe(Observation.WorkerLeaving(world.time.nowMs, WorkerId(worker)))
        worker(worker) { copy(isDraining = true) }
    }

    /** Kills a worker. */
    fun killWorker(worker: String) = world.workers.getValue(WorkerId(worker)).kill()

    /** Kills all workers of a region. */
    fun killWorkersOf(region: String) =
        world.workers.values
            .filter { it.worker.region.value == region }
            .forEach { it.kill() }

    /** Kills all workers and entry hosts of a region. */
    fun killRegion(region: String) {
        killWorkersOf(region)
        world
            .runningHosts()
            .filter { it.place.region.value == region }
            .forEach { it.kill() }
    }

    /** Changes the behaviour of a worker. */
    fun worker(
        worker: String,
        change: WorkerBehaviour.() -> WorkerBehaviour,
    ) {
        val target = world.workers.getValue(WorkerId(worker))
        target.behaviour = target.behaviour.change()
    }

    /** Sets the rate of all callers of [workspace], split as before over its loads. */
    fun rate(
        workspace: String,
        factor: Double,
    ) = callers.scale(workspace, factor)

    /** Edits the operators' lists; returns false if the key-value service did not accept the edit. */
    fun edit(change: OperatorConfiguration.() -> OperatorConfiguration): Boolean {
        val read = world.store.callAsOperator(StoreCall.Read(ConfigurationDocument.KEY)).getOrNull() as? StoreReply.Entry ?: return false
        val entry = read.entry ?: return false
        val edited = callers.decodeLists(entry.value).change()
        val call = StoreCall.CompareAndSwap(ConfigurationDocument.KEY, entry.revision, encodeLists(edited))
        return world.store.callAsOperator(call).isRight()
    }

    /** Withdraws all keys of [workspace]. */
    fun withdrawKeys(workspace: String): Boolean =
        edit { copy(customers = customers.map { if (it.workspace.value == workspace) it.copy(keyHashes = emptySet()) else it }) }

    /** Grants [workspace] the key that its callers show. */
    fun grantKeys(workspace: String): Boolean =
        edit { copy(customers = customers.map { if (it.workspace.value == workspace) customerOf(workspace) else it }) }

    /** Multiplies rate and burst of the plan of [workspace] by [factor]. */
    fun scalePlan(
        workspace: String,
        factor: Double,
    ): Boolean = edit { copy(plans = plans.map { if (it.id == customerOf(workspace).plan) it.scaled(factor) else it }) }

    private fun network(change: NetworkFaults.() -> NetworkFaults) {
        world.network.faults = world.network.faults.change()
    }

    private fun store(change: StoreFaults.() -> StoreFaults) {
        world.store.service.faults =
            world.store.service.faults
                .change()
    }
}

/** What the actions of a scenario may do with the callers. */
internal class CallerControl(
    val decodeLists: (String) -> OperatorConfiguration,
    val scale: (workspace: String, factor: Double) -> Unit,
)

private fun Plan.scaled(factor: Double): Plan = copy(ratePerS = ratePerS * factor, burst = (burst * factor).toInt().coerceAtLeast(1))
