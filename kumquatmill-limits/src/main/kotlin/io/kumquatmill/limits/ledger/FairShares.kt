package io.kumquatmill.limits.ledger

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.HostId
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.ln
import kotlin.math.min

/** The units out of all of a limit that [host] needs. */
internal data class Party(
    val host: HostId,
    val neededUnits: Long,
)

/** What a lender has to share out: [capacity] of the units of a limit. */
internal data class Pool(
    val limit: LimitSpec,
    val lender: HostId,
    val capacity: Long,
    val leastUsefulUnits: Long,
)

/**
 * Returns the max-min fair part of [capacity] for each of [demands].
 *
 * No part exceeds its demand, and a part that is smaller than its demand is at least as large as any other.
 */
internal fun maxMinShares(
    capacity: Double,
    demands: List<Double>,
): List<Double> {
    val shares = DoubleArray(demands.size)
    var left = capacity
    demands.indices.sortedBy { demands[it] }.forEachIndexed { position, index ->
        shares[index] = min(demands[index], left / (demands.size - position))
        left -= shares[index]
    }
    return shares.toList()
}

/**
 * Splits the pool over [parties] in whole units; what nobody needs stays with the lender, or goes with a rate to those that
 * have demand, as burst.
 *
 * Every lender scales the needs to its part of the limit, so that the parts of all lenders add up to the fair part.
 */
internal fun fairTargets(
    pool: Pool,
    parties: List<Party>,
): Map<HostId, Long> {
    val active = parties.filter { it.neededUnits > 0 }
    if (active.isEmpty() || pool.capacity == 0L) return mapOf(pool.lender to pool.capacity)
    return when (pool.limit) {
        is LimitSpec.Rate -> rateTargets(pool, active)
        is LimitSpec.Slots -> slotTargets(pool, active)
    }
}

private fun Pool.scale(neededUnits: Long): Double = neededUnits.toDouble() * capacity / limit.totalUnits

private fun rateTargets(
    pool: Pool,
    active: List<Party>,
): Map<HostId, Long> {
    val served = servedParties(pool, active)
    val shares = maxMinShares(pool.capacity.toDouble(), served.map { pool.scale(it.neededUnits) })
    val surplus = pool.capacity - shares.sum()
    val bonus = surplusPerParty(pool, served, surplus)
    val units = served.indices.map { floor(shares[it] + bonus).toLong() }
    val targets = served.indices.associate { served[it].host to units[it] }
    val kept = targets[pool.lender] ?: if (bonus * served.size < surplus - 1) floor(surplus - bonus * served.size).toLong() else 0
    val rounding = pool.capacity - units.sum() - if (pool.lender in targets) 0 else kept
    val first = served.first().host
    return mapOf(pool.lender to kept) + targets + (first to targets.getValue(first) + rounding)
}

/** Returns the parties that get anything, so that each of them can take at least one token. */
private fun servedParties(
    pool: Pool,
    active: List<Party>,
): List<Party> {
    val most = (pool.limit.totalUnits / pool.leastUsefulUnits).toInt().coerceAtLeast(1)
    if (active.size <= most) return active
    return rendezvousOrder(pool.limit.id.value, active) { it.host.value }.take(most)
}

/** Returns the part of [surplus] for each served party; an idle lender keeps one part if it is of use there. */
private fun surplusPerParty(
    pool: Pool,
    served: List<Party>,
    surplus: Double,
): Double {
    val withLender = surplus / (served.size + 1)
    val lenderKeeps = served.none { it.host == pool.lender } && withLender >= LEAST_KEPT_TOKENS * pool.leastUsefulUnits
    return if (lenderKeeps) withLender else surplus / served.size
}

private fun slotTargets(
    pool: Pool,
    active: List<Party>,
): Map<HostId, Long> {
    val demands = active.map { ceil(pool.scale(it.neededUnits)) }
    val shares = maxMinShares(pool.capacity.toDouble(), demands)
    val whole = shares.map { floor(it).toLong() }
    val left = min(pool.capacity, demands.sum().toLong()) - whole.sum()
    val roundedUp =
        active.indices
            .filter { shares[it] > whole[it] }
            .sortedBy { drawKey(pool, active[it].host, shares[it] - whole[it]) }
            .take(left.toInt())
            .toSet()
    val targets = active.indices.associate { active[it].host to whole[it] + (if (it in roundedUp) 1 else 0) }
    val unused = pool.capacity - targets.values.sum()
    return targets + (pool.lender to (targets[pool.lender] ?: 0) + unused)
}

/** Returns a key by which the smallest of several is drawn with a chance in proportion to [weight], the same every time. */
private fun drawKey(
    pool: Pool,
    host: HostId,
    weight: Double,
): Double {
    val hash = combineHashes(stableHash("${pool.limit.id}@${pool.lender}"), stableHash(host.value))
    val uniform = ((hash ushr HASH_SHIFT) + 1) * HASH_UNIT
    return -ln(uniform) / weight
}

/** Tokens that an idle lender must be able to keep, if it keeps any. */
private const val LEAST_KEPT_TOKENS = 2

/** Turns a hash into a fraction of 53 bits. */
private const val HASH_SHIFT = 11
private const val HASH_UNIT = 1.0 / ((1L shl 53) + 1)
