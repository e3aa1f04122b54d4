package io.kumquatmill.limits.ledger

import kotlin.math.min

/**
 * Units of one limit that are a host's own by the roster.
 *
 * Losses count at once; gains count from the time that they are given with.
 */
internal class AnchorShare {
    /** Units that count now. */
    var units: Long = 0
        private set

    private var gains: List<Gain> = emptyList()

    /** Heads for [target] units; what exceeds the units so far counts from [gainAtMs] on. */
    fun moveTo(
        nowMs: Long,
        target: Long,
        gainAtMs: Long,
    ) {
        mature(nowMs)
        units = min(units, target)
        gains = gains.map { it.copy(units = min(it.units, target)) }.filter { it.units > units }
        if (target > (gains.lastOrNull()?.units ?: units)) gains = gains + Gain(target, gainAtMs)
        mature(nowMs)
    }

    /** Counts the gains that are due; returns whether there were any. */
    fun mature(nowMs: Long): Boolean {
        if (gains.none { it.atMs <= nowMs }) return false
        units = gains.last { it.atMs <= nowMs }.units
        gains = gains.filter { it.units > units }
        return true
    }

    /** Gives up all units and gains. */
    fun clear() {
        units = 0
        gains = emptyList()
    }

    private data class Gain(
        val units: Long,
        val atMs: Long,
    )
}
