package io.kumquatmill.node.limit

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.configuration.current.ConfigurationSnapshot
import io.kumquatmill.limits.ledger.LimitSpec
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.model.Topology

/** Lists every limit that the entry hosts share, derived from the topology and the configuration. */
internal class LimitCatalogue(
    private val topology: Topology,
) {
    private val topologyLimits: List<LimitSpec> = slots() + links() + shifts()

    /** Returns all limits that apply while [snapshot] is in force. */
    fun limits(snapshot: ConfigurationSnapshot?): List<LimitSpec> = topologyLimits + rates(snapshot)

    private fun rates(snapshot: ConfigurationSnapshot?): List<LimitSpec> =
        snapshot?.plans.orEmpty().map { (workspace, plan) ->
            LimitSpec.Rate(rateLimitId(workspace), plan.ratePerS, plan.burst.toDouble())
        }

    private fun slots(): List<LimitSpec> = topology.workers.map { LimitSpec.Slots(slotLimitId(it.id), it.slots, it.region) }

    private fun links(): List<LimitSpec> =
        topology.links.map { link ->
            val bytesPerS = link.bytesPerS()
            LimitSpec.Rate(linkLimitId(link.from, link.to), bytesPerS * LINK_RATE_FRACTION, bytesPerS * LINK_BURST_FRACTION)
        }

    private fun shifts(): List<LimitSpec> {
        val requestsPerInterval = topology.shiftCap.requestsPerS * topology.shiftCap.intervalMs / MS_PER_S
        return regionPairs().map { (from, to) ->
            LimitSpec.Slots(shiftLimitId(from, to), requestsPerInterval.toInt().coerceAtLeast(1), from)
        }
    }

    private fun regionPairs(): List<Pair<RegionId, RegionId>> = topology.links.map { it.from to it.to }.distinct()

    private fun Link.bytesPerS(): Double = megabitsPerS * BYTES_PER_MEGABIT

    private companion object {
        const val BYTES_PER_MEGABIT = 125_000.0
        const val MS_PER_S = 1_000.0

        /** In any second, the rate and the burst of a link together do not exceed its capacity. */
        const val LINK_RATE_FRACTION = 0.9
        const val LINK_BURST_FRACTION = 0.1
    }
}
