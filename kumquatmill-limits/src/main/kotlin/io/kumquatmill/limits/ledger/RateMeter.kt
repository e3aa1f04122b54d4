package io.kumquatmill.limits.ledger

import io.kumquatmill.limits.bucket.TokenBucket
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/** Meter of a rate: a token bucket with the rate and burst that the host's units stand for. */
internal class RateMeter(
    override var spec: LimitSpec.Rate,
    private val settings: LedgerSettings,
    nowMs: Long,
) : Meter {
    private val bucket = TokenBucket(ratePerS = 0.0, capacity = 0.0, nowMs = nowMs)
    private val demand = DemandRate(settings.demandWindowMs)
    private var units = 0L

    /** Part of the limit that was last found to be needed; it follows the demand in steps. */
    private var steadyPart = 0.0

    override val tailMs: Long
        get() = 0

    override val leastUsefulUnits: Long
        get() = ceil(spec.totalUnits / guardedBurst()).toLong().coerceIn(1, spec.totalUnits)

    override fun edit(
        nowMs: Long,
        spec: LimitSpec,
    ) {
        require(spec is LimitSpec.Rate) { "limit ${spec.id} can't change its kind: use another identifier" }
        this.spec = spec
        rescale(nowMs)
    }

    override fun advance(nowMs: Long) = bucket.refill(nowMs)

    override fun skipTo(nowMs: Long) = bucket.skipTo(nowMs)

    override fun resize(
        nowMs: Long,
        units: Long,
    ) {
        this.units = units
        rescale(nowMs)
    }

    override fun tryTake(
        nowMs: Long,
        amount: Long,
    ): Boolean {
        demand.add(nowMs, amount)
        return bucket.tryTake(nowMs, amount.toDouble())
    }

    override fun isAvailable(
        nowMs: Long,
        amount: Long,
    ): Boolean = bucket.timeUntilAvailableMs(nowMs, amount.toDouble()) == 0L

    override fun release(
        nowMs: Long,
        amount: Long,
    ) = bucket.deposit(nowMs, amount.toDouble())

    override fun charge(
        nowMs: Long,
        amount: Long,
    ) {
        demand.add(nowMs, amount)
        bucket.charge(nowMs, amount.toDouble())
    }

    override fun retryAfterMs(
        nowMs: Long,
        amount: Long,
    ): Long? = bucket.timeUntilAvailableMs(nowMs, amount.toDouble())

    override fun movableUnits(): Long = units

    override fun withdraw(
        nowMs: Long,
        units: Long,
    ): Double {
        if (this.units == 0L) return 0.0
        bucket.refill(nowMs)
        return bucket.withdraw(nowMs, bucket.level * units / this.units)
    }

    override fun deposit(
        nowMs: Long,
        tokens: Double,
    ) = bucket.deposit(nowMs, tokens)

    override fun drain(nowMs: Long) = bucket.drain(nowMs)

    override fun neededUnits(nowMs: Long): Long {
        val lastDemandAtMs = demand.lastDemandAtMs ?: return 0
        if (nowMs - lastDemandAtMs >= settings.idleReturnMs) {
            steadyPart = 0.0
            return 0
        }
        val part = demand.ratePerS(nowMs) / spec.ratePerS + burstPart()
        if (part > steadyPart || part < steadyPart * FALL) steadyPart = min(part * HEADROOM, 1.0)
        val units = ceil(steadyPart * spec.totalUnits).toLong()
        return max(units, leastUsefulUnits)
    }

    override fun isIdle(): Boolean = bucket.level >= 0.0

    /** Returns the part of the limit asked for beside the average demand; a small burst is best held by one host. */
    private fun burstPart(): Double = max(BURST_PART, min(SMALL_BURST_TOKENS / guardedBurst(), 1.0))

    private fun rescale(nowMs: Long) {
        val part = units.toDouble() / spec.totalUnits
        bucket.rescale(nowMs, guardedRatePerS() * part, guardedBurst() * part)
    }

    /** Returns the burst less the tokens that may arrive bunched, but at least one. */
    private fun guardedBurst(): Double = max(spec.burst - guardTokens(), min(spec.burst, 1.0))

    /** Returns the rate, lowered when the burst is too small to keep the guard back from it. */
    private fun guardedRatePerS(): Double {
        val missingTokens = max(guardTokens() - (spec.burst - guardedBurst()), 0.0)
        return spec.ratePerS / (1.0 + missingTokens)
    }

    private fun guardTokens(): Double = spec.ratePerS * settings.jitterGuardMs / MILLIS_PER_SECOND

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Units asked for, relative to those that are needed at the moment, so that most changes of demand need no message. */
        const val HEADROOM = 1.3

        /** Part of the units asked for below which the demand must fall before fewer are asked for. */
        const val FALL = 0.5

        /** Part of the limit asked for beside the average demand, for its bursts. */
        const val BURST_PART = 0.25

        /** Tokens that a host asks for at least, so that a few requests at once need no loan. */
        const val SMALL_BURST_TOKENS = 8.0
    }
}
