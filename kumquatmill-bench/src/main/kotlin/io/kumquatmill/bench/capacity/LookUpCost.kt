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

/** Measures look-ups, the block table and the cached host orders for several numbers of client address blocks. */
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
        val sites = regions.map { TargetRegion(it, capacity = blocks * CAPACITY_FACTOR / regions.size) }
        val (table, build) = measureTimedValue { BlockTable.of(measurements(blocks), sites) }
        val targetsWithOneDown = sites.mapIndexed { index, site -> site.copy(isUp = index != DOWN_REGION_INDEX) }
        val rebuild = measureTime { table.withTargets(targetsWithOneDown) }
        collector.add("state", "bytes", blocks, table.sizeBytes.toDouble())
        collector.add("block table, build", "ms of a core", blocks, build.toDouble(DurationUnit.MILLISECONDS))
        collector.add("block table, a site down", "ms of a core", blocks, rebuild.toDouble(DurationUnit.MILLISECONDS))
        val orderBytes = retainedBytes { LookUpWorkload(table, blocks).also { measureCalls(it, blocks) }.steering }
        collector.add("state of the order of hosts", "bytes", blocks, orderBytes)
    }

    private fun measureCalls(
        workload: LookUpWorkload,
        blocks: Int,
    ) {
        collector.add("first look-up of a workspace", "us", blocks, workload.measureFirst().perCallUs())
        collector.add("look-up", "us", blocks, workload.measureRepeated().perCallUs())
    }

    private fun Duration.perCallUs(): Double = toDouble(DurationUnit.MICROSECONDS) / CALLS

    private fun measurements(blocks: Int): BlockMeasurements {
        val random = Random(1)
        return blockMeasurements(regions) {
            repeat(blocks) { block ->
                val home = random.nextInt(regions.size)
                val latencies =
                    (0 until LATENCIES_PER_BLOCK).map {
                        RegionLatency(
                            regions[(home + it * it) % regions.size],
                            latencyMs(it, random),
                        )
                    }
                block(AddressRange.block24(FIRST_ADDRESS + block * BLOCK_SIZE), 1.0, latencies)
            }
        }
    }

    private fun latencyMs(
        rank: Int,
        random: Random,
    ): Int = MIN_LATENCY_MS + rank * LATENCY_STEP_MS + random.nextInt(LATENCY_SPREAD_MS)

    /** Runs the same look-ups against a new steering table and against one that has cached them. */
    private inner class LookUpWorkload(
        table: BlockTable,
        blocks: Int,
    ) {
        private val random = Random(2)
        private val ips = List(CALLS) { formatIpv4(FIRST_ADDRESS + random.nextLong(blocks * BLOCK_SIZE)) }
        private val ids = List(workspaces) { WorkspaceId("workspace-$it") }
        val steering = SteeringTable(hosts, table::regionsOf, demandPerS = { DEMAND_PER_S })

        fun measureFirst(): Duration = measureTime { run() }

        fun measureRepeated(): Duration {
            repeat(WARM_UP_RUNS) { run() }
            return measureTime { run() }
        }

        private fun run() = ips.forEachIndexed { index, ip -> steering.lookUp(ids[index % workspaces], ip) }
    }

    private companion object {
        val ADDRESS = HostAddress("10.0.0.1", 8_080)
        const val FIRST_ADDRESS = 0x0100_0000L
        const val BLOCK_SIZE = 256L
        const val CAPACITY_FACTOR = 1.4
        const val DOWN_REGION_INDEX = 7
        const val LATENCIES_PER_BLOCK = 4
        const val MIN_LATENCY_MS = 5
        const val LATENCY_STEP_MS = 6
        const val LATENCY_SPREAD_MS = 20
        const val CALLS = 50_000
        const val WARM_UP_RUNS = 2
        const val DEMAND_PER_S = 50.0
    }
}

private const val BYTE_MASK = 255L
private val BYTE_SHIFTS = listOf(24, 16, 8, 0)

private fun formatIpv4(address: Long): String = BYTE_SHIFTS.joinToString(".") { (address shr it and BYTE_MASK).toString() }
