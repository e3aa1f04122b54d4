package io.kumquatmill.membership.fake

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.membership.message.MembershipMessage

/** Faults of the network and the store, which tests inject while the fleet runs. */
internal class FleetFaults {
    var isStoreDown = false

    /** Additional delay of each call on its way to the store. */
    var storeDelayMs = 0L

    /** Fraction of the store replies that are lost. */
    var storeReplyLossRate = 0.0

    /** Fraction of the messages between hosts that are lost. */
    var messageLossRate = 0.0

    /** Fraction of the messages that are delivered a second time, some seconds later. */
    var messageDuplicationRate = 0.0

    /** Returns whether a membership message from one host to another is delivered. */
    var deliversMessage: (HostId, HostId, MembershipMessage) -> Boolean = { _, _, _ -> true }

    /** Regions that are partitioned from all other regions. */
    val partitionedRegions = mutableSetOf<RegionId>()

    /** Hosts that cannot reach the store. */
    val hostsWithoutStore = mutableSetOf<HostId>()

    fun heal() {
        isStoreDown = false
        storeDelayMs = 0
        storeReplyLossRate = 0.0
        messageLossRate = 0.0
        messageDuplicationRate = 0.0
        partitionedRegions.clear()
        hostsWithoutStore.clear()
        deliversMessage = { _, _, _ -> true }
    }

    fun isPartitioned(
        one: RegionId,
        other: RegionId,
    ): Boolean = one != other && (one in partitionedRegions || other in partitionedRegions)
}
