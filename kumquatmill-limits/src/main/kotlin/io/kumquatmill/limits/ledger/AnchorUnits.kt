package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId

/**
 * Splits the units of [limit] over its home hosts among [members]; hosts that are no home are not listed.
 *
 * Every host computes the same split from the same roster. The units of all homes add up to those of the limit, and a host's
 * part of a limit by slots never shrinks when the slots grow, so that hosts which learn of the new number at different times
 * never hold more than the larger one.
 */
fun anchorUnits(
    members: Collection<Member>,
    limit: LimitSpec,
    settings: LedgerSettings,
): Map<HostId, Long> {
    val homes = homeHosts(members, limit, settings)
    if (homes.isEmpty()) return emptyMap()
    val base = limit.totalUnits / homes.size
    val remainder = limit.totalUnits % homes.size
    return homes
        .withIndex()
        .associate { (rank, host) -> host to base + (if (rank < remainder) 1 else 0) }
        .filterValues { it > 0 }
}

/** Returns the home hosts of [limit], the best first; neighbours in the order lie in different regions. */
internal fun homeHosts(
    members: Collection<Member>,
    limit: LimitSpec,
    settings: LedgerSettings,
): List<HostId> {
    val key = limit.id.placementKey
    val byRegion = eligibleMembers(members, limit).groupBy({ it.region }, { it.host })
    val hostsByRegion =
        rendezvousOrder(key, byRegion.keys) { it.value }
            .take(settings.maxHomes)
            .map { region -> rendezvousOrder(key, byRegion.getValue(region)) { it.value }.take(settings.homesPerRegion) }
    return (0 until settings.homesPerRegion)
        .flatMap { rank -> hostsByRegion.mapNotNull { hosts -> hosts.getOrNull(rank) } }
        .take(settings.maxHomes)
}

private fun eligibleMembers(
    members: Collection<Member>,
    limit: LimitSpec,
): Collection<Member> {
    val homeRegion = (limit as? LimitSpec.Slots)?.homeRegion ?: return members
    return members.filter { it.region == homeRegion }.ifEmpty { members }
}
