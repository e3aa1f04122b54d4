package io.kumquatmill.steering.block

/**
 * Gives each block to the first site it prefers that is up and has room.
 *
 * A site first fills with the blocks that prefer it to all others. When it is overloaded it turns away a part of the
 * others, then a part of its own, chosen by hash.
 */
internal class BlockAssignment(
    private val preferences: BlockPreferences,
    private val sites: List<Site>,
) {
    private val measurements = preferences.measurements
    private val assigned = ByteArray(measurements.size)
    private val ownPart = DoubleArray(sites.size) { 1.0 }
    private val guestPart = DoubleArray(sites.size) { 1.0 }
    private val ownLoad = DoubleArray(sites.size)
    private val guestLoad = DoubleArray(sites.size)

    /** Returns the index of the site of each block. */
    fun assign(): ByteArray {
        if (sites.none { it.isUp }) return assigned.apply { fill(BlockMeasurements.NO_SITE) }
        repeat(MAX_ROUNDS) {
            assignAll()
            if (!turnAwayOverload()) return assigned
        }
        assignAll()
        return assigned
    }

    private fun assignAll() {
        ownLoad.fill(0.0)
        guestLoad.fill(0.0)
        for (block in 0 until measurements.size) {
            val site = siteFor(block)
            val loads = if (site == preferences.site(block, 0)) ownLoad else guestLoad
            loads[site] += measurements.loads[block].toDouble()
            assigned[block] = site.toByte()
        }
    }

    private fun siteFor(block: Int): Int {
        for (rank in 0 until BlockMeasurements.MAX_LATENCIES) {
            val site = preferences.site(block, rank)
            if (site < 0) break
            val part = if (rank == 0) ownPart[site] else guestPart[site]
            if (sites[site].isUp && takes(block, site, part)) return site
        }
        return unmeasuredSiteFor(block)
    }

    private fun unmeasuredSiteFor(block: Int): Int {
        var best = -1
        var bestCost = Double.MAX_VALUE
        for (site in sites.indices) {
            if (!sites[site].isUp) continue
            val crowding = if (takes(block, site, guestPart[site])) 0.0 else CROWDED_COST
            val cost = crowding + preferences.rendezvousCost(block, site)
            if (cost < bestCost) {
                best = site
                bestCost = cost
            }
        }
        return best
    }

    private fun takes(
        block: Int,
        site: Int,
        part: Double,
    ): Boolean = part >= 1.0 || preferences.uniform(block, site) >= 1.0 - part

    /** Lowers the parts that overloaded sites take, and returns whether there were any. */
    private fun turnAwayOverload(): Boolean {
        var hasOverload = false
        for (site in sites.indices) {
            val capacity = sites[site].capacity
            if (ownLoad[site] + guestLoad[site] <= capacity * (1.0 + OVERLOAD_TOLERANCE)) continue
            hasOverload = true
            val roomForGuests = (capacity - ownLoad[site]).coerceAtLeast(0.0)
            if (guestLoad[site] > 0.0) guestPart[site] *= (roomForGuests / guestLoad[site]).coerceAtMost(1.0)
            if (ownLoad[site] > capacity) ownPart[site] *= capacity / ownLoad[site]
        }
        return hasOverload
    }

    private companion object {
        const val MAX_ROUNDS = 8
        const val OVERLOAD_TOLERANCE = 0.02
        const val CROWDED_COST = 1e12
    }
}
