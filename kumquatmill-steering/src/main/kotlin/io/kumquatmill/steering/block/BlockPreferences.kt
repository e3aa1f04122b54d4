package io.kumquatmill.steering.block

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash
import kotlin.math.ln

/**
 * The order in which each block prefers its measured regions.
 *
 * Regions in the same latency band, which is [latencyToleranceMs] wide and counted from the lowest latency, are equally near and are
 * ordered by weighted rendezvous hashing. The order does not depend on which regions are up, so that a region that goes down or comes back
 * moves only its own blocks.
 */
internal class BlockPreferences(
    val measurements: BlockMeasurements,
    private val targets: List<TargetRegion>,
    private val latencyToleranceMs: Int,
) {
    private val regionHashes = LongArray(targets.size) { stableHash(targets[it].region.value) }
    private val rankedRegions = ByteArray(measurements.regionIndexes.size)

    val sizeBytes: Long
        get() = rankedRegions.size.toLong()

    init {
        val costs = DoubleArray(BlockMeasurements.MAX_LATENCIES)
        for (block in 0 until measurements.size) {
            rank(block, costs)
        }
    }

    /** Returns the index of the region that [block] prefers at [rank], 0 being the best, or a negative number if there is none. */
    fun regionAt(
        block: Int,
        rank: Int,
    ): Int = rankedRegions[block * BlockMeasurements.MAX_LATENCIES + rank].toInt()

    /** Returns a hash of [block] and [region] that is uniform between 0 and 1 and the same on every host. */
    fun uniformHash(
        block: Int,
        region: Int,
    ): Double {
        val hash = combineHashes(measurements.firstAddresses[block].toLong(), regionHashes[region])
        return ((hash ushr HASH_SHIFT) + HALF) * HASH_UNIT
    }

    /** Returns the rendezvous cost of [region] for [block]; each region has the lowest cost in proportion to its capacity. */
    fun rendezvousCost(
        block: Int,
        region: Int,
    ): Double = -ln(uniformHash(block, region)) / targets[region].capacity.coerceAtLeast(MIN_CAPACITY)

    private fun rank(
        block: Int,
        costs: DoubleArray,
    ) {
        val offset = block * BlockMeasurements.MAX_LATENCIES
        val bestMs = measurements.latenciesMs[offset]
        for (rank in costs.indices) {
            val region = measurements.regionIndexes[offset + rank]
            val latencyBand = (measurements.latenciesMs[offset + rank] - bestMs) / latencyToleranceMs
            val cost = if (region < 0) Double.MAX_VALUE else latencyBand * LATENCY_BAND_COST + rendezvousCost(block, region.toInt())
            insertByCost(offset, rank, region, cost, costs)
        }
    }

    private fun insertByCost(
        offset: Int,
        count: Int,
        region: Byte,
        cost: Double,
        costs: DoubleArray,
    ) {
        var position = count
        while (position > 0 && costs[position - 1] > cost) {
            costs[position] = costs[position - 1]
            rankedRegions[offset + position] = rankedRegions[offset + position - 1]
            position -= 1
        }
        costs[position] = cost
        rankedRegions[offset + position] = region
    }

    private companion object {
        const val HASH_SHIFT = 11
        const val HASH_UNIT = 1.0 / (1L shl 53)
        const val HALF = 0.5
        const val MIN_CAPACITY = 1e-9

        /** Above any rendezvous cost, so that the latency band takes precedence. */
        const val LATENCY_BAND_COST = 1e12
    }
}
