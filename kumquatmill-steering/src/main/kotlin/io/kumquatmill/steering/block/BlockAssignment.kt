package io.kumquatmill.steering.block

/**
 * Assigns each block to the region it prefers most among those that are up and have capacity left.
 *
 * A region is primary for the blocks that prefer it to all others, and secondary for the rest. An overloaded region first sheds part of
 * the secondary blocks, then part of the primary ones, chosen by hash.
 */
internal class BlockAssignment(
    private val preferences: BlockPreferences,
    private val targets: List<TargetRegion>,
) {
    private val measurements = preferences.measurements
    private val assignedRegions = ByteArray(measurements.size)
    private val primaryAcceptRatio = DoubleArray(targets.size) { 1.0 }
    private val secondaryAcceptRatio = DoubleArray(targets.size) { 1.0 }
    private val primaryLoad = DoubleArray(targets.size)
    private val secondaryLoad = DoubleArray(targets.size)

    /** Returns the index of the assigned region of each block, or [BlockMeasurements.NO_REGION] if no region is up. */
    fun assign(): ByteArray {
        if (targets.none { it.isUp }) return assignedRegions.apply { fill(BlockMeasurements.NO_REGION) }
        repeat(MAX_ROUNDS) {
            assignAll()
            if (!shedOverload()) return assignedRegions
        }
        assignAll()
        return assignedRegions
    }

    private fun assignAll() {
        primaryLoad.fill(0.0)
        secondaryLoad.fill(0.0)
        for (block in 0 until measurements.size) {
            val region = selectRegion(block)
            val loads = if (region == preferences.regionAt(block, 0)) primaryLoad else secondaryLoad
            loads[region] += measurements.loads[block].toDouble()
            assignedRegions[block] = region.toByte()
        }
    }

    private fun selectRegion(block: Int): Int {
        for (rank in 0 until BlockMeasurements.MAX_LATENCIES) {
            val region = preferences.regionAt(block, rank)
            if (region < 0) break
            val acceptRatio = if (rank == 0) primaryAcceptRatio[region] else secondaryAcceptRatio[region]
            if (targets[region].isUp && accepts(block, region, acceptRatio)) return region
        }
        return selectByRendezvous(block)
    }

    private fun selectByRendezvous(block: Int): Int {
        var best = -1
        var bestCost = Double.MAX_VALUE
        for (region in targets.indices) {
            if (!targets[region].isUp) continue
            val overloadCost = if (accepts(block, region, secondaryAcceptRatio[region])) 0.0 else OVERLOAD_COST
            val cost = overloadCost + preferences.rendezvousCost(block, region)
            if (cost < bestCost) {
                best = region
                bestCost = cost
            }
        }
        return best
    }

    private fun accepts(
        block: Int,
        region: Int,
        acceptRatio: Double,
    ): Boolean = acceptRatio >= 1.0 || preferences.uniformHash(block, region) >= 1.0 - acceptRatio

    /** Lowers the accept ratios of overloaded regions and returns whether there were any. */
    private fun shedOverload(): Boolean {
        var hasOverload = false
        for (region in targets.indices) {
            val capacity = targets[region].capacity
            if (primaryLoad[region] + secondaryLoad[region] <= capacity * (1.0 + OVERLOAD_TOLERANCE)) continue
            hasOverload = true
            val secondaryCapacity = (capacity - primaryLoad[region]).coerceAtLeast(0.0)
            if (secondaryLoad[region] > 0.0) secondaryAcceptRatio[region] *= (secondaryCapacity / secondaryLoad[region]).coerceAtMost(1.0)
            if (primaryLoad[region] > capacity) primaryAcceptRatio[region] *= capacity / primaryLoad[region]
        }
        return hasOverload
    }

    private companion object {
        const val MAX_ROUNDS = 8
        const val OVERLOAD_TOLERANCE = 0.02

        /** Above any rendezvous cost, so that overloaded regions come last. */
        const val OVERLOAD_COST = 1e12
    }
}
