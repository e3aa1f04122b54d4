package io.kumquatmill.bench.capacity

/** Sizes of a deployment: [today] is a current one and [target] the one that the system must support. */
internal data class Sizes(
    val hosts: Int,
    val blocks: Int,
    val sites: Int,
    val regions: Int,
    val zones: Int,
    val workspaces: Int,
    val workers: Int,
) {
    companion object {
        val fleetSizes = listOf(7, 50, 150, 450)
        val entryHostCounts = listOf(7, 34, 98, 300)
        val blockCounts = listOf(100_000, 300_000, 840_000)
        val workspaceCounts = listOf(8, 1_000, 3_000, 6_000)
        val workerCounts = listOf(40, 400, 1_100)
        val upstreamWorkerCounts = listOf(40, 200, 500)
        val limitCounts = listOf(60, 240, 960, 3_000)
        val today = Sizes(hosts = 7, blocks = 6, sites = 3, regions = 3, zones = 6, workspaces = 8, workers = 40)
        val target =
            Sizes(hosts = 450, blocks = 840_000, sites = 110, regions = 8, zones = 19, workspaces = 10_000, workers = 1_100)
    }
}
