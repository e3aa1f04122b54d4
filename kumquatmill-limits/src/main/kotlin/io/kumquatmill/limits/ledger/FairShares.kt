package io.kumquatmill.limits.ledger

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.HostId
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.ln
import kotlin.math.min

/** Number of units of a limit that [host] needs. */
internal data class HostDemand(
    val host: HostId,
    val neededUnits: Long,
)

/** The [capacity] units of a limit that a lender distributes. */
internal data class LenderPool(
    val limit: LimitSpec,
    val lender: HostId,
    val capacity: Long,
    val minUsefulUnits: Long,
)

/**
 * Returns the max-min fair share of [capacity] for each of [demands].
 *
 * No share exceeds its demand, and a share that is smaller than its demand is at least as large as any other.
 */
internal fun maxMinShares(
    capacity: Double,
    demands: List<Double>,
): List<Double> {
    val shares = DoubleArray(demands.size)
    var remaining = capacity
    demands.indices.sortedBy { demands[it] }.forEachIndexed { position, index ->
        shares[index] = min(demands[index], remaining / (demands.size - position))
        remaining -= shares[index]
    }
    return shares.toList()
}

/**
 * Distributes the pool among [hostDemands] in whole units. Surplus slots stay with the lender; surplus units of a rate go to the
 * hosts with demand, as additional burst.
 *
 * Every lender scales the demands to its own fraction of the limit, so that the shares from all lenders add up to the fair share.
 */
internal fun fairTargets(
    pool: LenderPool,
    hostDemands: List<HostDemand>,
): Map<HostId, Long> {
    val active = hostDemands.filter { it.neededUnits > 0 }
    if (active.isEmpty() || pool.capacity == 0L) return mapOf(pool.lender to pool.capacity)
    return when (pool.limit) {
        is LimitSpec.Rate -> rateTargets(pool, active)
        is LimitSpec.Slots -> slotTargets(pool, active)
    }
}

private fun LenderPool.scale(neededUnits: Long): Double = neededUnits.toDouble() * capacity / limit.totalUnits

private fun rateTargets(
    pool: LenderPool,
    active: List<HostDemand>,
): Map<HostId, Long> {
    val served = selectServedHosts(pool, active)
    val shares = maxMinShares(pool.capacity.toDouble(), served.map { pool.scale(it.neededUnits) })
    val surplus = pool.capacity - shares.sum()
    val surplusShare = surplusPerHost(pool, served, surplus)
    val units = served.indices.map { floor(shares[it] + surplusShare).toLong() }
    val targets = served.indices.associate { served[it].host to units[it] }
    val kept =
        targets[pool.lender] ?: if (surplusShare * served.size < surplus - 1) floor(surplus - surplusShare * served.size).toLong() else 0
    val roundingRemainder = pool.capacity - units.sum() - if (pool.lender in targets) 0 else kept
    val first = served.first().host
    return mapOf(pool.lender to kept) + targets + (first to targets.getValue(first) + roundingRemainder)
}

/** Selects the hosts that receive units, few enough that each of them can take at least one token. */
private fun selectServedHosts(
    pool: LenderPool,
    active: List<HostDemand>,
): List<HostDemand> {
    val maxServed = (pool.limit.totalUnits / pool.minUsefulUnits).toInt().coerceAtLeast(1)
    if (active.size <= maxServed) return active
    return rendezvousOrder(pool.limit.id.value, active) { it.host.value }.take(maxServed)
}

/** Returns the share of [surplus] for each served host. An idle lender keeps one share if it is large enough to be useful. */
private fun surplusPerHost(
    pool: LenderPool,
    served: List<HostDemand>,
    surplus: Double,
): Double {
    val withLender = surplus / (served.size + 1)
    val lenderKeeps = served.none { it.host == pool.lender } && withLender >= MIN_KEPT_TOKENS * pool.minUsefulUnits
    return if (lenderKeeps) withLender else surplus / served.size
}

/**
 * Distributes whole slots. The shares to round up are selected by sampling weighted with their fractions, deterministically for
 * each limit and lender, so that over many of them each host gets its fair share.
 */
private fun slotTargets(
    pool: LenderPool,
    active: List<HostDemand>,
): Map<HostId, Long> {
    val demands = active.map { ceil(pool.scale(it.neededUnits)) }
    val shares = maxMinShares(pool.capacity.toDouble(), demands)
    val wholeSlots = shares.map { floor(it).toLong() }
    val remaining = min(pool.capacity, demands.sum().toLong()) - wholeSlots.sum()
    val roundedUp =
        active.indices
            .filter { shares[it] > wholeSlots[it] }
            .sortedBy { weightedSamplingKey(pool, active[it].host, shares[it] - wholeSlots[it]) }
            .take(remaining.toInt())
            .toSet()
    val targets = active.indices.associate { active[it].host to wholeSlots[it] + (if (it in roundedUp) 1 else 0) }
    val unused = pool.capacity - targets.values.sum()
    return targets + (pool.lender to (targets[pool.lender] ?: 0) + unused)
}

/** Returns a deterministic key for weighted sampling: the smallest key wins with a probability proportional to [weight]. */
private fun weightedSamplingKey(
    pool: LenderPool,
    host: HostId,
    weight: Double,
): Double {
    val hash = combineHashes(stableHash("${pool.limit.id}@${pool.lender}"), stableHash(host.value))
    val uniform = ((hash ushr HASH_SHIFT_BITS) + 1) * FRACTION_UNIT
    return -ln(uniform) / weight
}

/** Minimum number of tokens that an idle lender keeps, if it keeps any. */
private const val MIN_KEPT_TOKENS = 2

/** The shift and unit that convert a hash to a fraction of 53 bits between 0 and 1. */
private const val HASH_SHIFT_BITS = 11
private const val FRACTION_UNIT = 1.0 / ((1L shl 53) + 1)
