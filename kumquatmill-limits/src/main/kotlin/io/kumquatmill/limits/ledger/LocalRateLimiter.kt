package io.kumquatmill.limits.ledger

import io.kumquatmill.limits.bucket.TokenBucket
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/** Limiter of a rate: a token bucket with the rate and burst that correspond to the host's units. */
internal class LocalRateLimiter(
    override var spec: LimitSpec.Rate,
    private val settings: LedgerSettings,
    nowMs: Long,
) : LocalLimiter {
    private val bucket = TokenBucket(ratePerS = 0.0, capacity = 0.0, nowMs = nowMs)
    private val demand = DemandRate(settings.demandWindowMs)
    private var units = 0L

    /** Fraction of the limit that was last requested. It changes with demand only beyond thresholds. */
    private var requestedFraction = 0.0

    override val maxHoldMs: Long
        get() = 0

    override val minUsefulUnits: Long
        get() = ceil(spec.totalUnits / effectiveBurst()).toLong().coerceIn(1, spec.totalUnits)

    override fun updateSpec(
        nowMs: Long,
        spec: LimitSpec,
    ) {
        require(spec is LimitSpec.Rate) { "limit ${spec.id} can't change from a rate to slots: use a new limit id" }
        this.spec = spec
        rescale(nowMs)
    }

    override fun advance(nowMs: Long) = bucket.refill(nowMs)

    override fun skipTo(nowMs: Long) = bucket.skipTo(nowMs)

    override fun setUnits(
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

    override fun transferableUnits(): Long = units

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
        if (nowMs - lastDemandAtMs >= settings.idleTimeoutMs) {
            requestedFraction = 0.0
            return 0
        }
        val fraction = demand.ratePerS(nowMs) / spec.ratePerS + burstFraction()
        if (fraction > requestedFraction || fraction < requestedFraction * SHRINK_RATIO) requestedFraction = min(fraction * HEADROOM, 1.0)
        val units = ceil(requestedFraction * spec.totalUnits).toLong()
        return max(units, minUsefulUnits)
    }

    override fun isIdle(): Boolean = bucket.level >= 0.0

    /** Returns the fraction of the limit requested on top of the average demand. One host can best use a small burst as a whole. */
    private fun burstFraction(): Double = max(BURST_FRACTION, min(MIN_BURST_TOKENS / effectiveBurst(), 1.0))

    private fun rescale(nowMs: Long) {
        val fraction = units.toDouble() / spec.totalUnits
        bucket.rescale(nowMs, effectiveRatePerS() * fraction, effectiveBurst() * fraction)
    }

    /** Returns the burst minus the tokens that jitter may bunch, but at least one token, or the whole burst if that is less. */
    private fun effectiveBurst(): Double = max(spec.burst - jitterGuardTokens(), min(spec.burst, 1.0))

    /** Returns the rate, reduced if the burst is too small to cover the tokens that jitter may bunch. */
    private fun effectiveRatePerS(): Double {
        val missingTokens = max(jitterGuardTokens() - (spec.burst - effectiveBurst()), 0.0)
        return spec.ratePerS / (1.0 + missingTokens)
    }

    private fun jitterGuardTokens(): Double = spec.ratePerS * settings.jitterGuardMs / MILLIS_PER_SECOND

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Ratio of requested to needed units; the headroom avoids messages for most changes in demand. */
        const val HEADROOM = 1.3

        /** Ratio of needed to requested units below which fewer units are requested. */
        const val SHRINK_RATIO = 0.5

        /** Minimum fraction of the limit requested on top of the average demand, to cover bursts. */
        const val BURST_FRACTION = 0.25

        /** Minimum burst that a host requests, so that a few simultaneous requests need no loan. */
        const val MIN_BURST_TOKENS = 8.0
    }
}
