package io.kumquatmill.daemon

import io.kumquatmill.node.DefaultEntryNode
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.settings.DaemonSettings

/** Returns the node that [settings] describe. */
internal fun entryNode(settings: DaemonSettings): EntryNode =
    DefaultEntryNode(
        NodeSettings(
            host = settings.host.id,
            region = settings.host.region,
            availabilityZone = settings.host.availabilityZone,
            callerAddress = settings.host.callerAddress,
            peerAddress = settings.host.peerAddress,
            topology = settings.topology,
        ),
    )
