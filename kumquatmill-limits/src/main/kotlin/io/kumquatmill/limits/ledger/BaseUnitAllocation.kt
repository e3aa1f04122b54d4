package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId

/**
 * Divides all units of [limit] among its home hosts in [members]. Hosts without base units are not in the result.
 *
 * Every host computes the same allocation from the same roster. The units of all home hosts add up to the units of the limit.
 * When a limit gains slots, no host loses any. Hosts that learn of the new number at different times therefore never hold more
 * slots in total than the larger number.
 */
fun allocateBaseUnits(
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

/**
 * Returns the home hosts of [limit] in order of preference. The order alternates between regions, so that neighbours are in
 * different regions as far as possible.
 */
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
            .map { region -> rendezvousOrder(key, byRegion.getValue(region)) { it.value }.take(settings.maxHomesPerRegion) }
    return (0 until settings.maxHomesPerRegion)
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
