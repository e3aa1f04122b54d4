package io.kumquatmill.steering.block

import io.kumquatmill.common.id.RegionId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BlockTableTest {
    private val regions = (0 until 110).map { RegionId("site-$it") }
    private val sites = regions.map { Site(it, capacity = 1e9) }
    private val measurements = randomMeasurements(20_000, regions, seed = 1)

    @Test
    fun `a site that goes down moves its own blocks only and gets them back`() {
        val before = BlockTable.of(measurements, sites)
        for (site in listOf(0, 17, 109)) {
            val after = before.withSites(sites.mapIndexed { index, it -> it.copy(isUp = index != site) })
            val held = before.loads().getValue(regions[site]).toInt()
            assertTrue(held > 0, "blocks of site $site")
            assertEquals(held, after.movedBlocks(before), "blocks moved when site $site goes down")
            assertEquals(0, after.withSites(sites).movedBlocks(before), "blocks elsewhere after site $site came back")
        }
    }

    @Test
    fun `a table does not depend on the order in which blocks were added`() {
        val shuffled = randomMeasurements(20_000, regions, seed = 1, isShuffled = true)
        assertEquals(0, BlockTable.of(shuffled, sites).movedBlocks(BlockTable.of(measurements, sites)))
    }

    @Test
    fun `no site gets more than its capacity while others have room`() {
        val tight = regions.map { Site(it, capacity = 250.0) }
        val before = BlockTable.of(measurements, tight)
        val after = before.withSites(tight.mapIndexed { index, it -> it.copy(isUp = index != 5) })
        for (table in listOf(before, after)) {
            val most = table.loads().values.max()
            assertTrue(most <= 250 * 1.05, "greatest load: $most, expected at most 250")
        }
        val held = before.loads().getValue(regions[5]).toInt()
        val moved = after.movedBlocks(before)
        assertTrue(moved in held..held * 2, "blocks moved: $moved, expected little more than the $held that the site held")
    }

    @Test
    fun `blocks go to the nearest site and those without measurements to any`() {
        val near = listOf(SiteLatency(regions[3], 5), SiteLatency(regions[4], 40))
        val table =
            BlockTable.of(
                blockMeasurements(regions) {
                    block(AddressRange.block24(ip("10.1.2.0")), latencies = near)
                    block(AddressRange(ip("200.0.0.0"), ip("200.0.7.255")))
                },
                sites,
            )
        assertEquals(listOf(regions[3]), table.regionsOf("10.1.2.255"))
        assertEquals(1, table.regionsOf("200.0.7.255").size)
        val failedOver = table.withSites(sites.map { it.copy(isUp = it.region != regions[3]) })
        assertEquals(listOf(regions[4]), failedOver.regionsOf("10.1.2.255"))
        assertEquals(regions[3], failedOver.homeRegionOf("10.1.2.255"))
        for (unknown in listOf("10.1.3.0", "10.1.1.255", "200.0.8.0", "::1", "10.1.2", "10.1.2.256", "")) {
            assertEquals(emptyList(), table.regionsOf(unknown), "regions of '$unknown'")
        }
    }

    @Test
    fun `a block whose measurement stopped stays where it was`() {
        val range = AddressRange.block24(ip("10.1.2.0"))
        val older = blockMeasurements(regions) { block(range, latencies = listOf(SiteLatency(regions[9], 5))) }
        val newer = blockMeasurements(regions) { block(range) }.withFallback(older)
        assertEquals(listOf(regions[9]), BlockTable.of(newer, sites).regionsOf("10.1.2.3"))
    }

    private fun ip(text: String): Long = parseIpv4(text)
}

/** Returns blocks of a /24 each, one in twenty of them without a measurement. */
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
            val latencies = (0 until 4).map { SiteLatency(regions[(home + it * it) % regions.size], 5 + it * 6 + random.nextInt(20)) }
            AddressRange.block24(BASE_ADDRESS + block * 256L) to if (random.nextInt(20) == 0) emptyList() else latencies
        }
    return blockMeasurements(regions) {
        (if (isShuffled) rows.shuffled(random) else rows).forEach { (range, latencies) -> block(range, 1.0, latencies) }
    }
}

/** Address 1.0.0.0. */
const val BASE_ADDRESS: Long = 0x0100_0000L
