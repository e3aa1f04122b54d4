package io.kumquatmill.scenario.script

import io.kumquatmill.scenario.virtual.WorkerBehaviour
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adds [count] random faults between [fromMs] and [untilMs], each of which ends after a random time.
 *
 * The same [seed] gives the same faults. They may come together and twice.
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
        val endMs = startMs + random.nextLong(MIN_LENGTH_MS, MAX_LENGTH_MS)
        val fault = faults[random.nextInt(faults.size)](random)
        at(startMs.milliseconds) { fault.begin(this) }
        at(endMs.milliseconds) { fault.end(this) }
    }
}

private const val DEFAULT_FROM_MS = 3_000L
private const val DEFAULT_UNTIL_MS = 30_000L
private const val MIN_LENGTH_MS = 500L
private const val MAX_LENGTH_MS = 20_000L

/** A fault that begins and ends. */
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
        { random -> hosts.random(random).let { Fault({ freeze(it) }, { thaw(it) }) } },
        { random -> hosts.random(random).let { Fault({ freeze(it) }, { thaw(it) }) } },
        { random -> hosts.random(random).let { Fault({ stop(it) }, { startIfEnded(it) }) } },
    )

private fun networkFaults(
    hosts: List<String>,
    regions: List<String>,
): List<(Random) -> Fault> =
    listOf(
        { random -> regions.random(random).let { Fault({ cutRegion(it) }, { healRegion(it) }) } },
        { random -> hosts.random(random).let { Fault({ cutFromStore(it) }, { healStoreLink(it) }) } },
        { random ->
            val lossRate = random.nextDouble(MAX_LOSS_RATE)
            Fault({ peers(lossRate, lossRate, extraDelayMs = MAX_EXTRA_DELAY_MS) }, { peers() })
        },
    )

private fun storeFaults(): List<(Random) -> Fault> =
    listOf(
        { _ -> Fault({ storeDown() }, { storeUp() }) },
        { random -> random.nextLong(MAX_STORE_DELAY_MS).let { Fault({ storeSlow(it) }, { storeSlow(0) }) } },
        { random -> random.nextInt(1, MAX_LOST_ANSWERS).let { Fault({ loseStoreAnswers(it) }, {}) } },
    )

private fun workerFaults(workers: List<String>): List<(Random) -> Fault> =
    listOf(
        { random -> workers.random(random).let { Fault({ killWorker(it) }, { worker(it) { copy(isDead = false) } }) } },
        { random -> workers.random(random).let { Fault({ drainWorker(it) }, {}) } },
        { random -> behaviourFault(workers.random(random)) { copy(isSilent = true) } },
        { random -> behaviourFault(workers.random(random)) { copy(slownessFactor = SLOWNESS) } },
        { random -> behaviourFault(workers.random(random)) { copy(cutsAnswers = true) } },
        { random -> behaviourFault(workers.random(random)) { copy(reportsIdle = true) } },
    )

/** A worker that behaves as [change] says, and then as all others; it goes on draining if it did. */
private fun behaviourFault(
    worker: String,
    change: WorkerBehaviour.() -> WorkerBehaviour,
) = Fault({ worker(worker, change) }, { worker(worker) { WorkerBehaviour(isDraining = isDraining, isDead = isDead) } })

private fun operatorEdits(workspaces: List<String>): List<(Random) -> Fault> =
    listOf(
        { random -> workspaces.random(random).let { Fault({ rate(it, LARGE_RATE_FACTOR) }, { rate(it, 1.0) }) } },
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
private const val MAX_LOST_ANSWERS = 6
private const val SLOWNESS = 20.0
private const val LARGE_RATE_FACTOR = 5.0
private const val MIN_PLAN_FACTOR = 0.3
private const val MAX_PLAN_FACTOR = 3.0
