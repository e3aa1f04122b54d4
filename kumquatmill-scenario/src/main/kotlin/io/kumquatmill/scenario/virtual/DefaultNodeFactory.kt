package io.kumquatmill.scenario.virtual

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.node.DefaultEntryNode
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.EntryHostPlace
import kotlin.random.Random

/** Creates nodes as the daemon does; [change] replaces settings, to switch a mechanism off. */
fun defaultNodes(change: (NodeSettings) -> NodeSettings = { it }): NodeFactory =
    NodeFactory { deployment, place, address, seed ->
        DefaultEntryNode(change(nodeSettings(deployment, place, address)), Random(seed))
    }

private fun nodeSettings(
    deployment: Deployment,
    place: EntryHostPlace,
    address: HostAddress,
): NodeSettings {
    val regionOfClientIp = deployment.regions.associateBy { VirtualCaller.clientIpOf(it) }
    return NodeSettings(
        description = HostDescription(place.host, place.region, place.availabilityZone, address, address),
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
