package io.kumquatmill.membership.roster

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.record.toWitness

private const val RENDEZVOUS_KEY = "witness"

/**
 * Returns the witnesses of a roster of [members]: an odd number, at most [maxCount], spread over the regions.
 *
 * The selection is deterministic, so that every host computes the same one, and changes little when one member changes.
 */
internal fun selectWitnesses(
    members: List<Member>,
    maxCount: Int,
): List<Witness> {
    val count = oddAtMost(minOf(maxCount, members.size))
    return members
        .groupBy { it.region }
        .toSortedMap()
        .values
        .flatMap { regionMembers -> rendezvousOrder(RENDEZVOUS_KEY, regionMembers) { it.host.value }.withIndex() }
        .sortedBy { it.index }
        .take(count)
        .map { it.value.toWitness() }
}

private fun oddAtMost(count: Int): Int = if (count > 0 && count % 2 == 0) count - 1 else count
