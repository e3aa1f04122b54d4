package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.node.event.LoadReport
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.EntryHostPlace
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import kotlin.random.Random

/** Creates the node of an entry host; [seed] differs for each start of a host. */
fun interface NodeFactory {
    fun create(
        deployment: Deployment,
        place: EntryHostPlace,
        address: HostAddress,
        seed: Long,
    ): EntryNode
}

/** All parties of a scenario under one virtual clock, and what was observed of them. */
class VirtualWorld(
    internal val deployment: Deployment,
    private val nodeFactory: NodeFactory,
    seed: Long,
    decodeLists: (String) -> OperatorConfiguration,
    private val onDecision: (Long, HostId, Decision) -> Unit = { _, _, _ -> },
) {
    /** Clock of the scenario. */
    val time = VirtualTime()

    internal val random = Random(seed)

    /** Network between all parties. */
    val network = VirtualNetwork(time, deployment.delays, Random(random.nextLong()))

    /** Everything observed so far. */
    val observations: List<Observation>
        get() = recorded

    private val recorded = mutableListOf<Observation>()

    /** The platform's key-value service. */
    val store = VirtualStore(time, network, storePlace(deployment), decodeLists, ::observe)

    /** All workers by name. */
    val workers: Map<WorkerId, VirtualWorker> =
        deployment.topology.workers.associate { worker ->
            worker.id to VirtualWorker(worker, time, Random(random.nextLong()), ::observe)
        }

    private val hostsById = LinkedHashMap<HostId, VirtualHost>()
    private val hostsByAddress = HashMap<HostAddress, VirtualHost>()
    private val listHistory = ArrayDeque<TimedHostList>()

    /** Number of messages between entry hosts so far. */
    var peerMessageCount: Long = 0
        private set

    init {
        time.every(LIST_SNAPSHOT_INTERVAL_MS, firstDelayMs = 0) {
            listHistory += TimedHostList(time.nowMs, currentHostList())
            true
        }
    }

    internal fun observe(observation: Observation) {
        recorded += observation
    }

    internal fun log(
        host: HostId,
        decision: Decision,
    ) = onDecision(time.nowMs, host, decision)

    /** Starts the process of the host [id], anew if it ran before. */
    fun startHost(id: HostId) {
        val entry = deployment.entryHosts.first { it.host == id }
        val address = deployment.addressOf(id)
        val node = nodeFactory.create(deployment, entry, address, random.nextLong())
        val place = Place(id.value, entry.region, entry.availabilityZone)
        val host = VirtualHost(place, id, address, node, this)
        hostsById[id] = host
        hostsByAddress[address] = host
        observe(Observation.HostStarted(time.nowMs, id))
    }

    internal fun host(id: HostId): VirtualHost = hostsById.getValue(id)

    internal fun runningHosts(): List<VirtualHost> = hostsById.values.filter { it.isRunning }

    internal fun sendToPeer(
        from: VirtualHost,
        effect: NodeEffect.SendToPeer,
    ) {
        peerMessageCount += 1
        val to = hostsByAddress[effect.address] ?: return
        network.send(from.place, to.place) {
            hostsByAddress[effect.address]?.handle(NodeEvent.PeerMessageReceived(effect.envelope))
        }
    }

    internal fun sendToWorker(
        host: VirtualHost,
        effect: NodeEffect.Forward,
        attempt: WorkerAttempt,
        onResult: (AttemptResult, RequestId) -> Unit,
    ) {
        val worker = workers.getValue(effect.worker)
        val place = worker.place()
        val refuse = { onResult(AttemptResult.NotSent, attempt.request) }
        network.connect(host.place, place, onCut = refuse) {
            if (worker.behaviour.isDead) {
                refuse()
            } else {
                worker.arrive(attempt) { result, request -> network.connect(place, host.place) { onResult(result, request) } }
            }
        }
    }

    internal fun cancelAtWorker(
        host: VirtualHost,
        worker: WorkerId,
        request: RequestId,
    ) {
        val target = workers.getValue(worker)
        network.connect(host.place, target.place()) { target.cancel(request) }
    }

    internal fun readLoad(
        host: VirtualHost,
        worker: VirtualWorker,
        onReport: (LoadReport) -> Unit,
    ) {
        if (worker.behaviour.isDead || worker.behaviour.isSilent) return
        network.connect(worker.place(), host.place) { onReport(worker.report()) }
    }

    /** Returns the platform's list of hosts, as it was a while ago. */
    internal fun hostList(): List<HostListEntry> {
        val asOfMs = time.nowMs - HOST_LIST_LAG_MS
        while (listHistory.size > 1 && listHistory[1].atMs <= asOfMs) listHistory.removeFirst()
        return listHistory.first().entries
    }

    private fun currentHostList(): List<HostListEntry> = runningHosts().map { HostListEntry(it.host, HostListState.LIVE) }

    private class TimedHostList(
        val atMs: Long,
        val entries: List<HostListEntry>,
    )

    companion object {
        /** How far the platform's list of hosts lags behind. */
        const val HOST_LIST_LAG_MS: Long = 15_000
        private const val LIST_SNAPSHOT_INTERVAL_MS = 500L

        private fun storePlace(deployment: Deployment): Place {
            val zone = deployment.entryHosts.first { it.region == deployment.storeRegion }.availabilityZone
            return Place("store", deployment.storeRegion, zone)
        }
    }
}

private fun VirtualWorker.place() = Place(worker.id.value, worker.region, worker.availabilityZone)
