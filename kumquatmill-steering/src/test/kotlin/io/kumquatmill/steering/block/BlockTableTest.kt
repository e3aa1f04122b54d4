package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BlockTableTest {
    private val regions = (0 until 110).map { RegionId("site-$it") }
    private val targets = regions.map { TargetRegion(it, capacity = 1e9) }
    private val measurements = randomMeasurements(20_000, regions, seed = 1)

    @Test
    fun `a region that goes down loses only its own blocks and gets them back when it is up`() {
        val before = BlockTable.of(measurements, targets)
        for (region in listOf(0, 17, 109)) {
            val after = before.withTargets(targets.mapIndexed { index, it -> it.copy(isUp = index != region) })
            val assignedCount = before.loadByRegion().getValue(regions[region]).toInt()
            assertTrue(assignedCount > 0, "blocks of region $region")
            assertEquals(assignedCount, after.countMovedBlocks(before), "blocks moved when region $region goes down")
            assertEquals(0, after.withTargets(targets).countMovedBlocks(before), "blocks in another region after region $region came back")
        }
    }

    @Test
    fun `a table does not depend on the order in which blocks were added`() {
        val shuffled = randomMeasurements(20_000, regions, seed = 1, isShuffled = true)
        assertEquals(0, BlockTable.of(shuffled, targets).countMovedBlocks(BlockTable.of(measurements, targets)))
    }

    @Test
    fun `no region is assigned more than its capacity while others have capacity left`() {
        val tightTargets = regions.map { TargetRegion(it, capacity = 250.0) }
        val before = BlockTable.of(measurements, tightTargets)
        val after = before.withTargets(tightTargets.mapIndexed { index, it -> it.copy(isUp = index != 5) })
        for (table in listOf(before, after)) {
            val highestLoad = table.loadByRegion().values.max()
            assertTrue(highestLoad <= 250 * 1.05, "highest load: $highestLoad, expected at most 250")
        }
        val assignedCount = before.loadByRegion().getValue(regions[5]).toInt()
        val moved = after.countMovedBlocks(before)
        assertTrue(
            moved in assignedCount..assignedCount * 2,
            "blocks moved: $moved, expected little more than the $assignedCount blocks of the region",
        )
    }

    @Test
    fun `blocks are assigned to the nearest region and blocks without measurements to some region`() {
        val latencies = listOf(RegionLatency(regions[3], 5), RegionLatency(regions[4], 40))
        val table =
            BlockTable.of(
                blockMeasurements(regions) {
                    block(AddressRange.block24(ip("10.1.2.0")), latencies = latencies)
                    block(AddressRange(ip("200.0.0.0"), ip("200.0.7.255")))
                },
                targets,
            )
        assertEquals(listOf(regions[3]), table.regionsOf("10.1.2.255"))
        assertEquals(1, table.regionsOf("200.0.7.255").size)
        val failedOver = table.withTargets(targets.map { it.copy(isUp = it.region != regions[3]) })
        assertEquals(listOf(regions[4]), failedOver.regionsOf("10.1.2.255"))
        assertEquals(regions[3], failedOver.homeRegionOf("10.1.2.255"))
        for (unknown in listOf("10.1.3.0", "10.1.1.255", "200.0.8.0", "::1", "10.1.2", "10.1.2.256", "")) {
            assertEquals(emptyList(), table.regionsOf(unknown), "regions of '$unknown'")
        }
    }

    @Test
    fun `a block without new measurements keeps its region`() {
        val range = AddressRange.block24(ip("10.1.2.0"))
        val older = blockMeasurements(regions) { block(range, latencies = listOf(RegionLatency(regions[9], 5))) }
        val newer = blockMeasurements(regions) { block(range) }.withFallback(older)
        assertEquals(listOf(regions[9]), BlockTable.of(newer, targets).regionsOf("10.1.2.3"))
    }

    private fun ip(text: String): Long = parseIpv4(text)
}

/** Returns measurements of [count] consecutive /24 blocks; about one block in twenty has none. */
fun randomMeasurements(
    count: Int,
    regions: List<RegionId>,
    seed: Int,
    isShuffled: Boolean = false,
): BlockMeasurements {
    val random = Random(seed)
    val rows =
        List(count) { block ->
            val home = random.nextInt(regions.size)
            val latencies = (0 until 4).map { RegionLatency(regions[(home + it * it) % regions.size], 5 + it * 6 + random.nextInt(20)) }
            AddressRange.block24(BASE_ADDRESS + block * 256L) to if (random.nextInt(20) == 0) emptyList() else latencies
        }
    return blockMeasurements(regions) {
        (if (isShuffled) rows.shuffled(random) else rows).forEach { (range, latencies) -> block(range, 1.0, latencies) }
    }
}

/** Address 1.0.0.0. */
const val BASE_ADDRESS: Long = 0x0100_0000L
