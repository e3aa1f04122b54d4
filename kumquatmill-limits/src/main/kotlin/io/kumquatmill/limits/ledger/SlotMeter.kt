package io.kumquatmill.limits.ledger

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.max

/** Meter of slots: a count of those in use, a unit each. */
internal class SlotMeter(
    override var spec: LimitSpec.Slots,
    private val settings: LedgerSettings,
) : Meter {
    private var units = 0L
    private var inUse = 0L
    private var peak = 0.0
    private var peakAtMs = Long.MIN_VALUE
    private var shortAtMs = Long.MIN_VALUE
    private var shortAmount = 0L

    override val tailMs: Long
        get() = settings.maxRequestMs

    override val leastUsefulUnits: Long
        get() = 1

    override fun edit(
        nowMs: Long,
        spec: LimitSpec,
    ) {
        require(spec is LimitSpec.Slots) { "limit ${spec.id} can't change its kind: use another identifier" }
        this.spec = spec
    }

    override fun advance(nowMs: Long) = Unit

    override fun skipTo(nowMs: Long) = Unit

    override fun resize(
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
            noteShort(nowMs, amount)
            return false
        }
        inUse += amount
        notePeak(nowMs)
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
        notePeak(nowMs)
        inUse = max(0, inUse - amount)
    }

    override fun charge(
        nowMs: Long,
        amount: Long,
    ) {
        inUse += amount
        notePeak(nowMs)
    }

    override fun retryAfterMs(
        nowMs: Long,
        amount: Long,
    ): Long? = null

    override fun movableUnits(): Long = max(0, units - inUse)

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
        val wasShort = shortAtMs != Long.MIN_VALUE && nowMs - shortAtMs < settings.demandWindowMs
        val missing = if (wasShort) shortAmount else 0
        val recent = ceil(decayedPeak(nowMs) - PEAK_TOLERANCE).toLong()
        return max(recent, inUse + missing).coerceIn(0, spec.totalUnits)
    }

    override fun isIdle(): Boolean = inUse == 0L

    private fun noteShort(
        nowMs: Long,
        amount: Long,
    ) {
        val isRepeated = shortAtMs != Long.MIN_VALUE && nowMs - shortAtMs < settings.reviewIntervalMs
        shortAmount = if (isRepeated) shortAmount + amount else amount
        shortAtMs = nowMs
    }

    private fun notePeak(nowMs: Long) {
        peak = max(decayedPeak(nowMs), inUse.toDouble())
        peakAtMs = nowMs
    }

    private fun decayedPeak(nowMs: Long): Double {
        if (peakAtMs == Long.MIN_VALUE) return 0.0
        val elapsedMs = (nowMs - peakAtMs).coerceAtLeast(0)
        val excess = (peak - inUse) * exp(-elapsedMs.toDouble() / settings.idleReturnMs)
        return inUse + max(0.0, excess)
    }

    private companion object {
        /** Part of a slot by which the decayed peak may pass a whole number without asking for one slot more. */
        const val PEAK_TOLERANCE = 0.3
    }
}
