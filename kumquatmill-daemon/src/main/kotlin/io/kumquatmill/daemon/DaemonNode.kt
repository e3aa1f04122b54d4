package io.kumquatmill.daemon

import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.node.DefaultEntryNode
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.node.RequestSettings
import io.kumquatmill.routing.queue.FairQueueSettings
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.settings.HostSettings
import io.kumquatmill.settings.IsolationPolicy
import kotlin.random.Random
import io.kumquatmill.membership.IsolationPolicy as NodeIsolationPolicy

/** Part of the stop timeout that is reserved for the steps after the drain. */
private const val STOP_MARGIN_MS = 2_000L

/** Creates the node of an entry host from the daemon's [settings]. */
internal fun entryNode(
    settings: DaemonSettings,
    random: Random = Random.Default,
): EntryNode = DefaultEntryNode(nodeSettings(settings), random)

/** Converts the daemon's [settings] to those of the node. */
internal fun nodeSettings(settings: DaemonSettings): NodeSettings =
    NodeSettings(
        description = hostDescription(settings.host),
        topology = settings.topology,
        membership = membershipSettings(settings),
        seedPeers = settings.peers - settings.host.id,
        queue = FairQueueSettings(maxPerWorkspace = settings.queues.maxPerWorkspace),
        request = requestSettings(settings),
    )

private fun hostDescription(host: HostSettings) =
    HostDescription(
        host = host.id,
        region = host.region,
        availabilityZone = host.availabilityZone,
        callerAddress = host.callerAddress,
        peerAddress = host.peerAddress,
    )

private fun membershipSettings(settings: DaemonSettings) =
    MembershipSettings(
        storeRegion = settings.platform.storeRegion,
        isolationPolicy = isolationPolicy(settings.standing.isolationPolicy),
        standingMs = settings.standing.standingMs,
        freshnessMs = settings.standing.freshnessMs,
        seedHosts = settings.peers.keys - settings.host.id,
    )

private fun isolationPolicy(policy: IsolationPolicy): NodeIsolationPolicy =
    when (policy) {
        IsolationPolicy.REFUSE -> NodeIsolationPolicy.REFUSE
        IsolationPolicy.SERVE -> NodeIsolationPolicy.SERVE
    }

private fun requestSettings(settings: DaemonSettings): RequestSettings {
    val defaults = RequestSettings()
    val maxDrainMs = maxOf(1, settings.limits.stopTimeoutMs - STOP_MARGIN_MS)
    return defaults.copy(
        rateWaitMs = settings.queues.rateWaitMs,
        drainMs = minOf(defaults.drainMs, maxDrainMs),
        maxDrainMs = maxDrainMs,
    )
}
