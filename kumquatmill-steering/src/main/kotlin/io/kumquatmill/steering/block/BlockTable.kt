package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId

/**
 * Maps client addresses to regions, from measurements, in a few bytes for each block.
 *
 * Equal measurements and sites give equal tables on every host. A site that goes down or comes back moves the blocks
 * that it held or gets, and others only as far as capacities force it.
 */
class BlockTable private constructor(
    private val preferences: BlockPreferences,
    private val sites: List<Site>,
) {
    private val measurements = preferences.measurements
    private val assigned: ByteArray = BlockAssignment(preferences, sites).assign()
    private val regionLists: List<List<RegionId>> = sites.map { listOf(it.region) }

    /** Number of blocks. */
    val size: Int
        get() = measurements.size

    /** Memory of the table with its measurements. */
    val sizeBytes: Long
        get() = measurements.sizeBytes + preferences.sizeBytes + assigned.size

    /** Returns the region of [clientIp] as a list of one, or an empty list if its block is not known. */
    fun regionsOf(clientIp: String): List<RegionId> {
        val block = blockOf(parseIpv4(clientIp))
        if (block < 0 || assigned[block] < 0) return emptyList()
        return regionLists[assigned[block].toInt()]
    }

    /** Returns the region that [clientIp] belongs to while all sites are up, or null if that was not measured. */
    fun homeRegionOf(clientIp: String): RegionId? {
        val block = blockOf(parseIpv4(clientIp))
        val site = if (block < 0) -1 else preferences.site(block, 0)
        return if (site < 0) null else sites[site].region
    }

    /** Returns the table for [changed] states of the same sites. */
    fun withSites(changed: List<Site>): BlockTable {
        val isSame = changed.map { it.region to it.capacity } == sites.map { it.region to it.capacity }
        require(isSame) { "only the states of sites may change: build a new table for other sites or capacities" }
        return BlockTable(preferences, changed)
    }

    /** Returns the number of blocks whose region differs from that in [other], a table of the same blocks. */
    fun movedBlocks(other: BlockTable): Int = assigned.indices.count { assigned[it] != other.assigned[it] }

    /** Returns the load of each region. */
    fun loads(): Map<RegionId, Double> {
        val loads = DoubleArray(sites.size)
        for (block in assigned.indices) {
            if (assigned[block] >= 0) loads[assigned[block].toInt()] += measurements.loads[block].toDouble()
        }
        return sites.indices.associate { sites[it].region to loads[it] }
    }

    private fun blockOf(address: Long): Int {
        if (address == NO_IPV4) return -1
        val key = sortable(address)
        val found = measurements.firstAddresses.binarySearch(key)
        val block = if (found >= 0) found else -found - 2
        return if (block >= 0 && key <= measurements.lastAddresses[block]) block else -1
    }

    companion object {
        private const val DEFAULT_TOLERANCE_MS = 10

        /** Builds the table; sites within [toleranceMs] of each other share the blocks between them. */
        fun of(
            measurements: BlockMeasurements,
            sites: List<Site>,
            toleranceMs: Int = DEFAULT_TOLERANCE_MS,
        ): BlockTable {
            require(sites.map { it.region } == measurements.regions) { "sites and measurements differ: give both in the same order" }
            return BlockTable(BlockPreferences(measurements, sites, toleranceMs), sites)
        }
    }
}
