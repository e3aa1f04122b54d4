package io.kumquatmill.steering

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.steering.block.BASE_ADDRESS
import io.kumquatmill.steering.block.BlockTable
import io.kumquatmill.steering.block.TargetRegion
import io.kumquatmill.steering.block.randomMeasurements
import io.kumquatmill.steering.host.SteeringHost
import io.kumquatmill.steering.host.SteeringHostState
import io.kumquatmill.steering.table.SteeringTable
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.measureTime
import kotlin.time.measureTimedValue

class SteeringCapacityTest {
    private val regions = (0 until 110).map { RegionId("site-$it") }
    private val address = HostAddress("10.0.0.1", 80)
    private val hosts = (0 until 450).map { SteeringHost(HostId("host-$it"), regions[it % 110], address, SteeringHostState.LIVE) }

    @Test
    fun `a host answers 10,000 lookups per second from 840,000 blocks in 128 MB`() {
        for (blocks in listOf(100_000, 300_000, 840_000)) {
            val targets = regions.map { TargetRegion(it, capacity = blocks / 80.0) }
            val measurements = randomMeasurements(blocks, regions, seed = 1)
            val (table, build) = measureTimedValue { BlockTable.of(measurements, targets) }
            val rebuild = measureTime { table.withTargets(targets.map { it.copy(isUp = it.region != regions[7]) }) }
            val ratesPerS = listOf(64, 100_000).associateWith { lookupsPerS(table, blocks, workspaceCount = it) }
            println(
                "steering: $blocks blocks, ${table.sizeBytes} bytes, build $build, rebuild $rebuild, lookups/s by workspaces $ratesPerS",
            )
            assertTrue(table.sizeBytes < 128L shl 20, "table of $blocks blocks uses ${table.sizeBytes} bytes, expected less than 128 MB")
            assertTrue(ratesPerS.values.min() >= 10_000, "lookups per second: $ratesPerS, expected at least 10000")
        }
    }

    private fun lookupsPerS(
        blockTable: BlockTable,
        blocks: Int,
        workspaceCount: Int,
    ): Long {
        val random = Random(2)
        val ips = List(50_000) { toDottedIp(BASE_ADDRESS + random.nextLong(blocks * 256L)) }
        val workspaces = List(workspaceCount) { WorkspaceId("workspace-$it") }
        val table = SteeringTable(hosts, blockTable::regionsOf, demandPerS = { if (it == workspaces[0]) 900.0 else 50.0 })
        // CPU time of this thread, since the bound applies to one core; elapsed time would include other load on the machine.
        val threads = ManagementFactory.getThreadMXBean()
        val startedAtNs = threads.currentThreadCpuTime
        ips.forEachIndexed { index, ip -> table.lookUp(workspaces[index % workspaceCount], ip) }
        return ips.size * 1_000_000_000L / (threads.currentThreadCpuTime - startedAtNs)
    }

    private fun toDottedIp(address: Long): String =
        "${address shr 24 and 255}.${address shr 16 and 255}.${address shr 8 and 255}.${address and 255}"
}
