package io.kumquatmill.scenario.script

import io.kumquatmill.scenario.virtual.WorkerBehaviour
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adds [count] random faults that start between [fromMs] and [untilMs] and last for a random time.
 *
 * The same [seed] gives the same faults. Faults may overlap and repeat.
 */
fun ScenarioBuilder.randomFaults(
    seed: Long,
    count: Int,
    fromMs: Long = DEFAULT_FROM_MS,
    untilMs: Long = DEFAULT_UNTIL_MS,
) {
    val random = Random(seed)
    val faults = faultsOf(this)
    repeat(count) {
        val startMs = random.nextLong(fromMs, untilMs)
        val endMs = startMs + random.nextLong(MIN_DURATION_MS, MAX_DURATION_MS)
        val fault = faults[random.nextInt(faults.size)](random)
        at(startMs.milliseconds) { fault.begin(this) }
        at(endMs.milliseconds) { fault.end(this) }
    }
}

private const val DEFAULT_FROM_MS = 3_000L
private const val DEFAULT_UNTIL_MS = 30_000L
private const val MIN_DURATION_MS = 500L
private const val MAX_DURATION_MS = 20_000L

/** A fault: the actions that inject it and that repair it. */
private class Fault(
    val begin: ScenarioActions.() -> Unit,
    val end: ScenarioActions.() -> Unit,
)

private fun faultsOf(builder: ScenarioBuilder): List<(Random) -> Fault> {
    val hosts = builder.deployment.entryHosts.map { it.host.value }
    val regions = builder.deployment.regions.map { it.value }
    val workers =
        builder.deployment.topology.workers
            .map { it.id.value }
    val workspaces = builder.workspaces()
    return hostFaults(hosts) + networkFaults(hosts, regions) + storeFaults() + workerFaults(workers) + operatorEdits(workspaces)
}

private fun hostFaults(hosts: List<String>): List<(Random) -> Fault> =
    listOf(
        { random -> hosts.random(random).let { Fault({ kill(it) }, { startIfEnded(it) }) } },
        // Listed twice, so that a freeze is twice as likely as a kill or a stop.
        { random -> hosts.random(random).let { Fault({ freeze(it) }, { unfreeze(it) }) } },
        { random -> hosts.random(random).let { Fault({ freeze(it) }, { unfreeze(it) }) } },
        { random -> hosts.random(random).let { Fault({ stop(it) }, { startIfEnded(it) }) } },
    )

private fun networkFaults(
    hosts: List<String>,
    regions: List<String>,
): List<(Random) -> Fault> =
    listOf(
        { random -> regions.random(random).let { Fault({ partitionRegion(it) }, { healRegion(it) }) } },
        { random -> hosts.random(random).let { Fault({ partitionFromStore(it) }, { healStorePartition(it) }) } },
        { random ->
            val lossRate = random.nextDouble(MAX_LOSS_RATE)
            Fault({ peerFaults(lossRate, lossRate, extraDelayMs = MAX_EXTRA_DELAY_MS) }, { peerFaults() })
        },
    )

private fun storeFaults(): List<(Random) -> Fault> =
    listOf(
        { _ -> Fault({ storeDown() }, { storeUp() }) },
        { random -> random.nextLong(MAX_STORE_DELAY_MS).let { Fault({ delayStore(it) }, { delayStore(0) }) } },
        { random -> random.nextInt(1, MAX_LOST_RESPONSES).let { Fault({ loseStoreResponses(it) }, {}) } },
    )

private fun workerFaults(workers: List<String>): List<(Random) -> Fault> =
    listOf(
        { random -> workers.random(random).let { Fault({ killWorker(it) }, { worker(it) { copy(isDead = false) } }) } },
        { random -> workers.random(random).let { Fault({ drainWorker(it) }, {}) } },
        { random -> behaviourFault(workers.random(random)) { copy(isSilent = true) } },
        { random -> behaviourFault(workers.random(random)) { copy(slownessFactor = SLOWNESS_FACTOR) } },
        { random -> behaviourFault(workers.random(random)) { copy(truncatesResponses = true) } },
        { random -> behaviourFault(workers.random(random)) { copy(reportsIdle = true) } },
    )

/** A fault that changes the behaviour of a worker and then resets it to the default; the worker stays dead or draining if it is. */
private fun behaviourFault(
    worker: String,
    change: WorkerBehaviour.() -> WorkerBehaviour,
) = Fault({ worker(worker, change) }, { worker(worker) { WorkerBehaviour(isDraining = isDraining, isDead = isDead) } })

private fun operatorEdits(workspaces: List<String>): List<(Random) -> Fault> =
    listOf(
        { random -> workspaces.random(random).let { Fault({ scaleLoad(it, LARGE_LOAD_FACTOR) }, { scaleLoad(it, 1.0) }) } },
        { random ->
            val workspace = workspaces.random(random)
            val factor = random.nextDouble(MIN_PLAN_FACTOR, MAX_PLAN_FACTOR)
            Fault({ scalePlan(workspace, factor) }, { scalePlan(workspace, 1 / factor) })
        },
        { random -> workspaces.random(random).let { Fault({ withdrawKeys(it) }, { grantKeys(it) }) } },
    )

private const val MAX_LOSS_RATE = 0.3
private const val MAX_EXTRA_DELAY_MS = 60L
private const val MAX_STORE_DELAY_MS = 4_000L
private const val MAX_LOST_RESPONSES = 6
private const val SLOWNESS_FACTOR = 20.0
private const val LARGE_LOAD_FACTOR = 5.0
private const val MIN_PLAN_FACTOR = 0.3
private const val MAX_PLAN_FACTOR = 3.0
