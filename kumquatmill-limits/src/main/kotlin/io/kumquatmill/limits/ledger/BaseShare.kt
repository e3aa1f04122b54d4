package io.kumquatmill.limits.ledger

import kotlin.math.min

/**
 * Base units of one limit: the units that the roster assigns to this host.
 *
 * A decrease takes effect immediately. An increase, here called a gain, takes effect at the time that is passed with it.
 */
internal class BaseShare {
    /** Units in effect now. */
    var units: Long = 0
        private set

    private var gains: List<Gain> = emptyList()

    /** Moves to [target] units. Units above the present number take effect at [gainsEffectiveAtMs]. */
    fun setTarget(
        nowMs: Long,
        target: Long,
        gainsEffectiveAtMs: Long,
    ) {
        applyDueGains(nowMs)
        units = min(units, target)
        gains = gains.map { it.copy(units = min(it.units, target)) }.filter { it.units > units }
        if (target > (gains.lastOrNull()?.units ?: units)) gains = gains + Gain(target, gainsEffectiveAtMs)
        applyDueGains(nowMs)
    }

    /** Applies the gains that are due. Returns whether there were any. */
    fun applyDueGains(nowMs: Long): Boolean {
        if (gains.none { it.effectiveAtMs <= nowMs }) return false
        units = gains.last { it.effectiveAtMs <= nowMs }.units
        gains = gains.filter { it.units > units }
        return true
    }

    /** Drops all units and pending gains. */
    fun clear() {
        units = 0
        gains = emptyList()
    }

    private data class Gain(
        val units: Long,
        val effectiveAtMs: Long,
    )
}
