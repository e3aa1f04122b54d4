package io.kumquatmill.membership.fake

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.membership.message.MembershipMessage

/** What goes wrong between hosts and at the store; tests change it while the fleet runs. */
internal class FleetFaults {
    var isStoreDown = false
    var storeDelayMs = 0L
    var lostStoreAnswers = 0.0
    var lostMessages = 0.0

    /** Part of the messages that arrive twice, the second time some seconds late. */
    var repeatedMessages = 0.0

    /** Decides for each message of membership whether it passes. */
    var passes: (HostId, HostId, MembershipMessage) -> Boolean = { _, _, _ -> true }

    /** Regions that neither send nor receive across their border. */
    val cutRegions = mutableSetOf<RegionId>()

    /** Hosts that can not reach the store. */
    val hostsWithoutStore = mutableSetOf<HostId>()

    fun heal() {
        isStoreDown = false
        storeDelayMs = 0
        lostStoreAnswers = 0.0
        lostMessages = 0.0
        repeatedMessages = 0.0
        cutRegions.clear()
        hostsWithoutStore.clear()
        passes = { _, _, _ -> true }
    }

    fun isCut(
        one: RegionId,
        other: RegionId,
    ): Boolean = one != other && (one in cutRegions || other in cutRegions)
}
