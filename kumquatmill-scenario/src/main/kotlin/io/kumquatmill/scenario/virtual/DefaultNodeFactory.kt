package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.node.DefaultEntryNode
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.EntryHostPlacement
import kotlin.random.Random

/** Returns a factory of the nodes that the daemon runs; [changeSettings] can replace settings, for example to disable a mechanism. */
fun defaultNodeFactory(changeSettings: (NodeSettings) -> NodeSettings = { it }): NodeFactory =
    NodeFactory { deployment, placement, address, seed ->
        DefaultEntryNode(changeSettings(nodeSettings(deployment, placement, address)), Random(seed))
    }

private fun nodeSettings(
    deployment: Deployment,
    placement: EntryHostPlacement,
    address: HostAddress,
): NodeSettings {
    val regionOfClientIp = deployment.regions.associateBy { VirtualCaller.clientIpOf(it) }
    return NodeSettings(
        description = HostDescription(placement.host, placement.region, placement.availabilityZone, address, address),
        topology = deployment.topology,
        membership =
            MembershipSettings(
                storeRegion = deployment.storeRegion,
                seedHosts = deployment.entryHosts.map { it.host }.toSet(),
            ),
        seedPeers = deployment.entryHosts.associate { it.host to deployment.addressOf(it.host) },
        regionResolver = { clientIp -> listOfNotNull(regionOfClientIp[clientIp]) },
    )
}
