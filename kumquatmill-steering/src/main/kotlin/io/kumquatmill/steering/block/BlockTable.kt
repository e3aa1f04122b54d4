package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId

/**
 * Maps client addresses to regions by measured latencies, with a few bytes of memory per block.
 *
 * Equal measurements and targets give equal tables on every host. When a region goes down or comes back, the blocks that it loses or gains
 * move, and other blocks only as far as capacities require it.
 */
class BlockTable private constructor(
    private val preferences: BlockPreferences,
    private val targets: List<TargetRegion>,
) {
    private val measurements = preferences.measurements
    private val assignedRegions: ByteArray = BlockAssignment(preferences, targets).assign()
    private val regionLists: List<List<RegionId>> = targets.map { listOf(it.region) }

    /** Number of blocks. */
    val size: Int
        get() = measurements.size

    /** Memory that the table uses, including its measurements. */
    val sizeBytes: Long
        get() = measurements.sizeBytes + preferences.sizeBytes + assignedRegions.size

    /** Returns the region of [clientIp] as a list of one, or an empty list if no block contains the address. */
    fun regionsOf(clientIp: String): List<RegionId> {
        val block = findBlock(parseIpv4(clientIp))
        if (block < 0 || assignedRegions[block] < 0) return emptyList()
        return regionLists[assignedRegions[block].toInt()]
    }

    /** Returns the region of [clientIp] while all regions are up, or null if its block is unknown or has no measurements. */
    fun homeRegionOf(clientIp: String): RegionId? {
        val block = findBlock(parseIpv4(clientIp))
        val region = if (block < 0) -1 else preferences.regionAt(block, 0)
        return if (region < 0) null else targets[region].region
    }

    /** Returns the table for the same regions and capacities, of which others are up. */
    fun withTargets(changed: List<TargetRegion>): BlockTable {
        val isSame = changed.map { it.region to it.capacity } == targets.map { it.region to it.capacity }
        require(isSame) { "only isUp of the targets may change: build a new table for other regions or capacities" }
        return BlockTable(preferences, changed)
    }

    /** Returns the number of blocks whose region differs from that in [other], a table of the same blocks. */
    fun countMovedBlocks(other: BlockTable): Int = assignedRegions.indices.count { assignedRegions[it] != other.assignedRegions[it] }

    /** Returns the sum of the loads of the blocks that are assigned to each region. */
    fun loadByRegion(): Map<RegionId, Double> {
        val loads = DoubleArray(targets.size)
        for (block in assignedRegions.indices) {
            if (assignedRegions[block] >= 0) loads[assignedRegions[block].toInt()] += measurements.loads[block].toDouble()
        }
        return targets.indices.associate { targets[it].region to loads[it] }
    }

    private fun findBlock(address: Long): Int {
        if (address == INVALID_IPV4) return -1
        val key = toSortableInt(address)
        val found = measurements.firstAddresses.binarySearch(key)
        val block = if (found >= 0) found else -found - 2
        return if (block >= 0 && key <= measurements.lastAddresses[block]) block else -1
    }

    companion object {
        private const val DEFAULT_LATENCY_TOLERANCE_MS = 10

        /** Builds the table; blocks are shared between regions whose latencies differ by less than [latencyToleranceMs]. */
        fun of(
            measurements: BlockMeasurements,
            targets: List<TargetRegion>,
            latencyToleranceMs: Int = DEFAULT_LATENCY_TOLERANCE_MS,
        ): BlockTable {
            require(targets.map { it.region } == measurements.regions) {
                "regions of targets and measurements differ: pass both in the same order"
            }
            return BlockTable(BlockPreferences(measurements, targets, latencyToleranceMs), targets)
        }
    }
}
