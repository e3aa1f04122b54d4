package io.kumquatmill.limits.ledger

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.max

/** Limiter of slots: counts the slots in use, where each slot is one unit. */
internal class LocalSlotLimiter(
    override var spec: LimitSpec.Slots,
    private val settings: LedgerSettings,
) : LocalLimiter {
    private var units = 0L
    private var inUse = 0L
    private var peak = 0.0
    private var peakAtMs = Long.MIN_VALUE
    private var shortageAtMs = Long.MIN_VALUE
    private var shortageAmount = 0L

    override val maxHoldMs: Long
        get() = settings.maxRequestDurationMs

    override val minUsefulUnits: Long
        get() = 1

    override fun updateSpec(
        nowMs: Long,
        spec: LimitSpec,
    ) {
        require(spec is LimitSpec.Slots) { "limit ${spec.id} can't change from slots to a rate: use a new limit id" }
        this.spec = spec
    }

    override fun advance(nowMs: Long) = Unit

    override fun skipTo(nowMs: Long) = Unit

    override fun setUnits(
        nowMs: Long,
        units: Long,
    ) {
        this.units = units
    }

    override fun tryTake(
        nowMs: Long,
        amount: Long,
    ): Boolean {
        if (!isAvailable(nowMs, amount)) {
            recordShortage(nowMs, amount)
            return false
        }
        inUse += amount
        recordPeak(nowMs)
        return true
    }

    override fun isAvailable(
        nowMs: Long,
        amount: Long,
    ): Boolean = inUse + amount <= units

    override fun release(
        nowMs: Long,
        amount: Long,
    ) {
        recordPeak(nowMs)
        inUse = max(0, inUse - amount)
    }

    override fun charge(
        nowMs: Long,
        amount: Long,
    ) {
        inUse += amount
        recordPeak(nowMs)
    }

    override fun retryAfterMs(
        nowMs: Long,
        amount: Long,
    ): Long? = null

    override fun transferableUnits(): Long = max(0, units - inUse)

    override fun withdraw(
        nowMs: Long,
        units: Long,
    ): Double = 0.0

    override fun deposit(
        nowMs: Long,
        tokens: Double,
    ) = Unit

    override fun drain(nowMs: Long) = Unit

    override fun neededUnits(nowMs: Long): Long {
        val isShortageRecent = shortageAtMs != Long.MIN_VALUE && nowMs - shortageAtMs < settings.demandWindowMs
        val missing = if (isShortageRecent) shortageAmount else 0
        val recent = ceil(decayedPeak(nowMs) - PEAK_TOLERANCE).toLong()
        return max(recent, inUse + missing).coerceIn(0, spec.totalUnits)
    }

    override fun isIdle(): Boolean = inUse == 0L

    private fun recordShortage(
        nowMs: Long,
        amount: Long,
    ) {
        val isSameShortage = shortageAtMs != Long.MIN_VALUE && nowMs - shortageAtMs < settings.rebalanceIntervalMs
        shortageAmount = if (isSameShortage) shortageAmount + amount else amount
        shortageAtMs = nowMs
    }

    private fun recordPeak(nowMs: Long) {
        peak = max(decayedPeak(nowMs), inUse.toDouble())
        peakAtMs = nowMs
    }

    /** Returns the peak number of slots in use, which decays to the present number with time constant `idleTimeoutMs`. */
    private fun decayedPeak(nowMs: Long): Double {
        if (peakAtMs == Long.MIN_VALUE) return 0.0
        val elapsedMs = (nowMs - peakAtMs).coerceAtLeast(0)
        val excess = (peak - inUse) * exp(-elapsedMs.toDouble() / settings.idleTimeoutMs)
        return inUse + max(0.0, excess)
    }

    private companion object {
        /** Fraction of a slot by which the decayed peak may exceed a whole number without requesting another slot. */
        const val PEAK_TOLERANCE = 0.3
    }
}
