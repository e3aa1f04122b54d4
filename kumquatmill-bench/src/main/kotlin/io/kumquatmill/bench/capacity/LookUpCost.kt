package io.kumquatmill.bench.capacity

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.steering.block.AddressRange
import io.kumquatmill.steering.block.BlockMeasurements
import io.kumquatmill.steering.block.BlockTable
import io.kumquatmill.steering.block.RegionLatency
import io.kumquatmill.steering.block.TargetRegion
import io.kumquatmill.steering.block.blockMeasurements
import io.kumquatmill.steering.host.SteeringHost
import io.kumquatmill.steering.host.SteeringHostState
import io.kumquatmill.steering.table.SteeringTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.measureTime
import kotlin.time.measureTimedValue

/** Measures look-ups: the block table and the order of the hosts, at several numbers of client blocks. */
internal class LookUpCost(
    private val blockCounts: List<Int> = Sizes.blockCounts,
    private val workspaces: Int = Sizes.target.workspaces,
) {
    private val regions = (0 until Sizes.target.sites).map { RegionId("site-$it") }
    private val hosts =
        (0 until Sizes.target.hosts).map {
            SteeringHost(HostId("h$it"), regions[it % regions.size], ADDRESS, SteeringHostState.LIVE)
        }
    private var collector = newCollector()

    private fun newCollector() = SeriesCollector("look-up", "blocks", Sizes.today.blocks.toDouble(), Sizes.target.blocks.toDouble())

    fun measure(): List<Series> {
        measureAt(blockCounts.first())
        collector = newCollector()
        blockCounts.forEach(::measureAt)
        return collector.series()
    }

    private fun measureAt(blocks: Int) {
        val sites = regions.map { TargetRegion(it, capacity = blocks * CAPACITY_PART / regions.size) }
        val (table, build) = measureTimedValue { BlockTable.of(measurements(blocks), sites) }
        val oneDown = sites.mapIndexed { index, site -> site.copy(isUp = index != DOWN_SITE) }
        val rebuild = measureTime { table.withTargets(oneDown) }
        collector.add("state", "bytes", blocks, table.sizeBytes.toDouble())
        collector.add("block table, build", "ms of a core", blocks, build.toDouble(DurationUnit.MILLISECONDS))
        collector.add("block table, a site down", "ms of a core", blocks, rebuild.toDouble(DurationUnit.MILLISECONDS))
        val orderBytes = retainedBytes { LookUpCalls(table, blocks).also { measureCalls(it, blocks) }.steering }
        collector.add("state of the order of hosts", "bytes", blocks, orderBytes)
    }

    private fun measureCalls(
        calls: LookUpCalls,
        blocks: Int,
    ) {
        collector.add("first look-up of a workspace", "us", blocks, calls.first().perCallUs())
        collector.add("look-up", "us", blocks, calls.next().perCallUs())
    }

    private fun Duration.perCallUs(): Double = toDouble(DurationUnit.MICROSECONDS) / CALLS

    private fun measurements(blocks: Int): BlockMeasurements {
        val random = Random(1)
        return blockMeasurements(regions) {
            repeat(blocks) { block ->
                val home = random.nextInt(regions.size)
                val latencies = (0 until LATENCIES).map { RegionLatency(regions[(home + it * it) % regions.size], latencyMs(it, random)) }
                block(AddressRange.block24(FIRST_ADDRESS + block * BLOCK_SIZE), 1.0, latencies)
            }
        }
    }

    private fun latencyMs(
        rank: Int,
        random: Random,
    ): Int = NEAREST_MS + rank * FARTHER_MS + random.nextInt(SPREAD_MS)

    /** The same look-ups against a new table and one that has answered them before. */
    private inner class LookUpCalls(
        table: BlockTable,
        blocks: Int,
    ) {
        private val random = Random(2)
        private val ips = List(CALLS) { dotted(FIRST_ADDRESS + random.nextLong(blocks * BLOCK_SIZE)) }
        private val ids = List(workspaces) { WorkspaceId("workspace-$it") }
        val steering = SteeringTable(hosts, table::regionsOf, demandPerS = { DEMAND_PER_S })

        fun first(): Duration = measureTime { run() }

        fun next(): Duration {
            repeat(WARM_UP_RUNS) { run() }
            return measureTime { run() }
        }

        private fun run() = ips.forEachIndexed { index, ip -> steering.lookUp(ids[index % workspaces], ip) }
    }

    private companion object {
        val ADDRESS = HostAddress("10.0.0.1", 8_080)
        const val FIRST_ADDRESS = 0x0100_0000L
        const val BLOCK_SIZE = 256L
        const val CAPACITY_PART = 1.4
        const val DOWN_SITE = 7
        const val LATENCIES = 4
        const val NEAREST_MS = 5
        const val FARTHER_MS = 6
        const val SPREAD_MS = 20
        const val CALLS = 50_000
        const val WARM_UP_RUNS = 2
        const val DEMAND_PER_S = 50.0
    }
}

private const val BYTE_MASK = 255L
private val BYTE_SHIFTS = listOf(24, 16, 8, 0)

private fun dotted(address: Long): String = BYTE_SHIFTS.joinToString(".") { (address shr it and BYTE_MASK).toString() }
