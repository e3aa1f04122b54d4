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
import io.kumquatmill.scenario.deployment.EntryHostPlacement
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import kotlin.random.Random

/** Creates the node of an entry host. */
fun interface NodeFactory {
    /** Creates the node of the host at [placement], which listens on [address]; each start of a host has another [seed]. */
    fun create(
        deployment: Deployment,
        placement: EntryHostPlacement,
        address: HostAddress,
        seed: Long,
    ): EntryNode
}

/** Deterministic simulation of a deployment: entry hosts, workers, the store and the network on one virtual clock. */
class Simulation(
    internal val deployment: Deployment,
    private val nodeFactory: NodeFactory,
    seed: Long,
    decodeConfiguration: (String) -> OperatorConfiguration,
    private val onDecision: (Long, HostId, Decision) -> Unit = { _, _, _ -> },
) {
    /** Clock of the simulation. */
    val time = VirtualTime()

    internal val random = Random(seed)

    /** Network between entry hosts, workers and the store. */
    val network = VirtualNetwork(time, deployment.delays, Random(random.nextLong()))

    /** All observations so far, in chronological order. */
    val observations: List<Observation>
        get() = recorded

    private val recorded = mutableListOf<Observation>()

    /** Key-value store of the platform. */
    val store = VirtualStore(time, network, storeEndpoint(deployment), decodeConfiguration, ::observe)

    /** Workers by id. */
    val workers: Map<WorkerId, VirtualWorker> =
        deployment.topology.workers.associate { worker ->
            worker.id to VirtualWorker(worker, time, Random(random.nextLong()), ::observe)
        }

    private val hostsById = LinkedHashMap<HostId, VirtualHost>()
    private val hostsByAddress = HashMap<HostAddress, VirtualHost>()
    private val hostListHistory = ArrayDeque<TimedHostList>()

    /** Number of messages sent between entry hosts so far. */
    var peerMessageCount: Long = 0
        private set

    init {
        time.every(HOST_LIST_SNAPSHOT_INTERVAL_MS, firstDelayMs = 0) {
            hostListHistory += TimedHostList(time.nowMs, currentHostList())
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

    /** Starts the process of the host [id], with a new node if it ran before. */
    fun startHost(id: HostId) {
        val entry = deployment.entryHosts.first { it.host == id }
        val address = deployment.addressOf(id)
        val node = nodeFactory.create(deployment, entry, address, random.nextLong())
        val endpoint = Endpoint(id.value, entry.region, entry.availabilityZone)
        val host = VirtualHost(endpoint, id, address, node, this)
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
        network.send(from.endpoint, to.endpoint) {
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
        val endpoint = worker.endpoint()
        val refuse = { onResult(AttemptResult.NotSent, attempt.request) }
        network.sendReliably(host.endpoint, endpoint, onDisconnected = refuse) {
            if (worker.behaviour.isDead) {
                refuse()
            } else {
                worker.receive(attempt) { result, request -> network.sendReliably(endpoint, host.endpoint) { onResult(result, request) } }
            }
        }
    }

    internal fun cancelAtWorker(
        host: VirtualHost,
        worker: WorkerId,
        request: RequestId,
    ) {
        val target = workers.getValue(worker)
        network.sendReliably(host.endpoint, target.endpoint()) { target.cancel(request) }
    }

    internal fun readLoad(
        host: VirtualHost,
        worker: VirtualWorker,
        onReport: (LoadReport) -> Unit,
    ) {
        if (worker.behaviour.isDead || worker.behaviour.isSilent) return
        network.sendReliably(worker.endpoint(), host.endpoint) { onReport(worker.report()) }
    }

    /** Returns the platform's host list as it was [HOST_LIST_LAG_MS] ago. */
    internal fun hostList(): List<HostListEntry> {
        val asOfMs = time.nowMs - HOST_LIST_LAG_MS
        while (hostListHistory.size > 1 && hostListHistory[1].atMs <= asOfMs) hostListHistory.removeFirst()
        return hostListHistory.first().entries
    }

    private fun currentHostList(): List<HostListEntry> = runningHosts().map { HostListEntry(it.host, HostListState.LIVE) }

    private class TimedHostList(
        val atMs: Long,
        val entries: List<HostListEntry>,
    )

    companion object {
        /** Time by which the platform's host list lags behind the actual state. */
        const val HOST_LIST_LAG_MS: Long = 15_000
        private const val HOST_LIST_SNAPSHOT_INTERVAL_MS = 500L

        private fun storeEndpoint(deployment: Deployment): Endpoint {
            val zone = deployment.entryHosts.first { it.region == deployment.storeRegion }.availabilityZone
            return Endpoint("store", deployment.storeRegion, zone)
        }
    }
}

private fun VirtualWorker.endpoint() = Endpoint(worker.id.value, worker.region, worker.availabilityZone)
