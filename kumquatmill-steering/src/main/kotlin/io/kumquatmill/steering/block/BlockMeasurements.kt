package io.kumquatmill.steering.block

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.RegionId

/**
 * Blocks of client addresses with their loads and the latest measured latencies to their nearest regions, in compact arrays.
 *
 * Measurements may be old or missing; a block without any is still assigned to a region. Build it with [blockMeasurements].
 */
class BlockMeasurements internal constructor(
    internal val regions: List<RegionId>,
    internal val firstAddresses: IntArray,
    internal val lastAddresses: IntArray,
    internal val loads: FloatArray,
    internal val regionIndexes: ByteArray,
    internal val latenciesMs: ShortArray,
) {
    /** Number of blocks. */
    val size: Int
        get() = firstAddresses.size

    /** Memory that the arrays use. */
    val sizeBytes: Long
        get() = size.toLong() * (2 * Int.SIZE_BYTES + Float.SIZE_BYTES + MAX_LATENCIES * (Byte.SIZE_BYTES + Short.SIZE_BYTES))

    /** Returns a copy that takes over the measurements of [older] for blocks that have none here. */
    fun withFallback(older: BlockMeasurements): BlockMeasurements {
        require(older.regions == regions) { "the measurements cover different regions: measure all regions again" }
        val mergedIndexes = regionIndexes.copyOf()
        val mergedLatencies = latenciesMs.copyOf()
        for (block in 0 until size) {
            val olderBlock = if (isMeasured(block)) -1 else older.firstAddresses.binarySearch(firstAddresses[block])
            if (olderBlock < 0) continue
            val from = olderBlock * MAX_LATENCIES
            older.regionIndexes.copyInto(mergedIndexes, block * MAX_LATENCIES, from, from + MAX_LATENCIES)
            older.latenciesMs.copyInto(mergedLatencies, block * MAX_LATENCIES, from, from + MAX_LATENCIES)
        }
        return BlockMeasurements(regions, firstAddresses, lastAddresses, loads, mergedIndexes, mergedLatencies)
    }

    private fun isMeasured(block: Int): Boolean = regionIndexes[block * MAX_LATENCIES] != NO_REGION

    companion object {
        /** Number of latencies that are kept for each block. */
        const val MAX_LATENCIES: Int = 4
        internal const val NO_REGION: Byte = -1
    }
}

/** Builds the measurements between client blocks and [regions]; blocks can be added in any order. */
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
        require(regions.size <= MAX_REGIONS) { "${regions.size} regions exceed the limit of $MAX_REGIONS: merge some" }
    }

    /** Adds the block [range] with its [load] and [latencies], of which only the lowest [BlockMeasurements.MAX_LATENCIES] are kept. */
    fun block(
        range: AddressRange,
        load: Double = 1.0,
        latencies: List<RegionLatency> = emptyList(),
    ) {
        val nearest = latencies.filter { it.region in indexes }.sortedWith(compareBy({ it.latencyMs }, { it.region }))
        rows += Row(range, load.toFloat(), nearest.take(BlockMeasurements.MAX_LATENCIES))
    }

    internal fun build(): BlockMeasurements {
        rows.sortBy { it.range.first }
        for (index in 1 until rows.size) {
            require(rows[index - 1].range.last < rows[index].range.first) { "blocks overlap at ${rows[index].range}: split them" }
        }
        val regionIndexes = ByteArray(rows.size * BlockMeasurements.MAX_LATENCIES) { BlockMeasurements.NO_REGION }
        val latencies = ShortArray(regionIndexes.size)
        rows.forEachIndexed { block, row ->
            writeLatencies(regionIndexes, latencies, block * BlockMeasurements.MAX_LATENCIES, row.latencies)
        }
        return BlockMeasurements(
            regions,
            IntArray(rows.size) { toSortableInt(rows[it].range.first) },
            IntArray(rows.size) { toSortableInt(rows[it].range.last) },
            FloatArray(rows.size) { rows[it].load },
            regionIndexes,
            latencies,
        )
    }

    private fun writeLatencies(
        regionIndexes: ByteArray,
        latenciesMs: ShortArray,
        offset: Int,
        latencies: List<RegionLatency>,
    ) {
        latencies.forEachIndexed { rank, latency ->
            regionIndexes[offset + rank] = indexes.getValue(latency.region).toByte()
            latenciesMs[offset + rank] = latency.latencyMs.coerceIn(0, Short.MAX_VALUE.toInt()).toShort()
        }
    }

    private class Row(
        val range: AddressRange,
        val load: Float,
        val latencies: List<RegionLatency>,
    )

    private companion object {
        /** Indexes of regions are stored as signed bytes. */
        const val MAX_REGIONS = 127
    }
}

/** Returns [address] as a signed number that sorts in the order of the unsigned addresses. */
internal fun toSortableInt(address: Long): Int = address.toInt() xor Int.MIN_VALUE
