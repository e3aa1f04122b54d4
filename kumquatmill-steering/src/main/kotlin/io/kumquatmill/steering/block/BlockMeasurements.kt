package io.kumquatmill.steering.block

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.RegionId

/**
 * Client blocks with their loads and the latest measured latencies to the nearest sites, in compact arrays.
 *
 * Measurements may be old or missing; a block without any is still placed. Build it with [blockMeasurements].
 */
class BlockMeasurements internal constructor(
    internal val regions: List<RegionId>,
    internal val firstAddresses: IntArray,
    internal val lastAddresses: IntArray,
    internal val loads: FloatArray,
    internal val siteIndexes: ByteArray,
    internal val latenciesMs: ShortArray,
) {
    /** Number of blocks. */
    val size: Int
        get() = firstAddresses.size

    /** Memory of the arrays. */
    val sizeBytes: Long
        get() = size.toLong() * (2 * Int.SIZE_BYTES + Float.SIZE_BYTES + MAX_LATENCIES * (Byte.SIZE_BYTES + Short.SIZE_BYTES))

    /** Returns these measurements, with those of [older] for blocks that have none here. */
    fun withFallback(older: BlockMeasurements): BlockMeasurements {
        require(older.regions == regions) { "the measurements are of different regions: measure all regions anew" }
        val mergedSites = siteIndexes.copyOf()
        val mergedLatencies = latenciesMs.copyOf()
        for (block in 0 until size) {
            val olderBlock = if (isMeasured(block)) -1 else older.firstAddresses.binarySearch(firstAddresses[block])
            if (olderBlock < 0) continue
            val from = olderBlock * MAX_LATENCIES
            older.siteIndexes.copyInto(mergedSites, block * MAX_LATENCIES, from, from + MAX_LATENCIES)
            older.latenciesMs.copyInto(mergedLatencies, block * MAX_LATENCIES, from, from + MAX_LATENCIES)
        }
        return BlockMeasurements(regions, firstAddresses, lastAddresses, loads, mergedSites, mergedLatencies)
    }

    private fun isMeasured(block: Int): Boolean = siteIndexes[block * MAX_LATENCIES] != NO_SITE

    companion object {
        /** Number of latencies that are kept of each block. */
        const val MAX_LATENCIES: Int = 4
        internal const val NO_SITE: Byte = -1
    }
}

/** Builds measurements between client blocks and [regions]; the order of the blocks does not matter. */
fun blockMeasurements(
    regions: List<RegionId>,
    configure: BlockMeasurementsBuilder.() -> Unit,
): BlockMeasurements = BlockMeasurementsBuilder(regions).apply(configure).build()

/** Collects the blocks of [BlockMeasurements]. */
@KumquatmillDsl
class BlockMeasurementsBuilder internal constructor(
    private val regions: List<RegionId>,
) {
    private val indexes = regions.withIndex().associate { (index, region) -> region to index }
    private val rows = ArrayList<Row>()

    init {
        require(regions.size <= MAX_SITES) { "${regions.size} regions are more than $MAX_SITES: merge some" }
    }

    /** Adds the block [range] with its [load] and its [latencies], of which the lowest are kept. */
    fun block(
        range: AddressRange,
        load: Double = 1.0,
        latencies: List<SiteLatency> = emptyList(),
    ) {
        val nearest = latencies.filter { it.region in indexes }.sortedWith(compareBy({ it.latencyMs }, { it.region }))
        rows += Row(range, load.toFloat(), nearest.take(BlockMeasurements.MAX_LATENCIES))
    }

    internal fun build(): BlockMeasurements {
        rows.sortBy { it.range.first }
        for (index in 1 until rows.size) {
            require(rows[index - 1].range.last < rows[index].range.first) { "blocks overlap at ${rows[index].range}: split them" }
        }
        val sites = ByteArray(rows.size * BlockMeasurements.MAX_LATENCIES) { BlockMeasurements.NO_SITE }
        val latencies = ShortArray(sites.size)
        rows.forEachIndexed { block, row -> fill(sites, latencies, block * BlockMeasurements.MAX_LATENCIES, row.latencies) }
        return BlockMeasurements(
            regions,
            IntArray(rows.size) { sortable(rows[it].range.first) },
            IntArray(rows.size) { sortable(rows[it].range.last) },
            FloatArray(rows.size) { rows[it].load },
            sites,
            latencies,
        )
    }

    private fun fill(
        sites: ByteArray,
        latenciesMs: ShortArray,
        offset: Int,
        latencies: List<SiteLatency>,
    ) {
        latencies.forEachIndexed { rank, latency ->
            sites[offset + rank] = indexes.getValue(latency.region).toByte()
            latenciesMs[offset + rank] = latency.latencyMs.coerceIn(0, Short.MAX_VALUE.toInt()).toShort()
        }
    }

    private class Row(
        val range: AddressRange,
        val load: Float,
        val latencies: List<SiteLatency>,
    )

    private companion object {
        const val MAX_SITES = 127
    }
}

/** Returns [address] as a signed number that sorts like the unsigned address. */
internal fun sortable(address: Long): Int = address.toInt() xor Int.MIN_VALUE
