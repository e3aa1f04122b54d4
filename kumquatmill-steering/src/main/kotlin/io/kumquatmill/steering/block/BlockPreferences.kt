package io.kumquatmill.steering.block

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash
import kotlin.math.ln

/**
 * The order in which each block prefers its measured sites.
 *
 * Sites whose latency differs by less than [toleranceMs] count as equally near and are ordered by weighted rendezvous
 * hash. The order does not depend on which sites are up, so that a change of one site moves its own blocks only.
 */
internal class BlockPreferences(
    val measurements: BlockMeasurements,
    private val sites: List<Site>,
    private val toleranceMs: Int,
) {
    private val siteHashes = LongArray(sites.size) { stableHash(sites[it].region.value) }
    private val ranked = ByteArray(measurements.siteIndexes.size)

    val sizeBytes: Long
        get() = ranked.size.toLong()

    init {
        val costs = DoubleArray(BlockMeasurements.MAX_LATENCIES)
        for (block in 0 until measurements.size) {
            rank(block, costs)
        }
    }

    /** Returns the index of the site that [block] prefers at [rank], or a negative number if there is none. */
    fun site(
        block: Int,
        rank: Int,
    ): Int = ranked[block * BlockMeasurements.MAX_LATENCIES + rank].toInt()

    /** Returns a number from 0 to 1 that is the same for [block] and [site] on every host. */
    fun uniform(
        block: Int,
        site: Int,
    ): Double {
        val hash = combineHashes(measurements.firstAddresses[block].toLong(), siteHashes[site])
        return ((hash ushr HASH_SHIFT) + HALF) * HASH_UNIT
    }

    /** Returns the rendezvous cost of [site] for [block]; the lowest wins, in proportion to the capacities. */
    fun rendezvousCost(
        block: Int,
        site: Int,
    ): Double = -ln(uniform(block, site)) / sites[site].capacity.coerceAtLeast(MIN_CAPACITY)

    private fun rank(
        block: Int,
        costs: DoubleArray,
    ) {
        val offset = block * BlockMeasurements.MAX_LATENCIES
        val bestMs = measurements.latenciesMs[offset]
        for (rank in costs.indices) {
            val site = measurements.siteIndexes[offset + rank]
            val band = (measurements.latenciesMs[offset + rank] - bestMs) / toleranceMs
            val cost = if (site < 0) Double.MAX_VALUE else band * BAND_COST + rendezvousCost(block, site.toInt())
            insert(offset, rank, site, cost, costs)
        }
    }

    private fun insert(
        offset: Int,
        count: Int,
        site: Byte,
        cost: Double,
        costs: DoubleArray,
    ) {
        var place = count
        while (place > 0 && costs[place - 1] > cost) {
            costs[place] = costs[place - 1]
            ranked[offset + place] = ranked[offset + place - 1]
            place -= 1
        }
        costs[place] = cost
        ranked[offset + place] = site
    }

    private companion object {
        const val HASH_SHIFT = 11
        const val HASH_UNIT = 1.0 / (1L shl 53)
        const val HALF = 0.5
        const val MIN_CAPACITY = 1e-9
        const val BAND_COST = 1e12
    }
}
