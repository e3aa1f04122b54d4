package io.kumquatmill.limits.bucket

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Token bucket that refills continuously at [ratePerS] up to [capacity].
 *
 * It enforces limits of the form "rate x time + burst". It starts with [level] tokens, none by default. The caller passes the
 * current time to every operation, and the bucket never reads a clock. A time earlier than the latest refill adds no tokens.
 */
class TokenBucket(
    ratePerS: Double,
    capacity: Double,
    nowMs: Long,
    level: Double = 0.0,
) {
    /** Refill rate in tokens per second. */
    var ratePerS: Double = ratePerS
        private set

    /** Maximum number of tokens in the bucket. */
    var capacity: Double = capacity
        private set

    /** Number of tokens as of the last operation; negative while the bucket is in debt. */
    var level: Double = min(level, capacity)
        private set

    private var refilledAtMs: Long = nowMs

    /** Adds the tokens accrued since the last refill. */
    fun refill(nowMs: Long) {
        if (nowMs <= refilledAtMs) return
        level = peekLevel(nowMs)
        refilledAtMs = nowMs
    }

    /** Advances to [nowMs] without a refill, for a period in which the owner was not entitled to the rate. */
    fun skipTo(nowMs: Long) {
        refilledAtMs = max(refilledAtMs, nowMs)
    }

    /** Changes rate and capacity from [nowMs] on. The level is capped at the new capacity and never raised. */
    fun rescale(
        nowMs: Long,
        ratePerS: Double,
        capacity: Double,
    ) {
        refill(nowMs)
        this.ratePerS = ratePerS
        this.capacity = capacity
        level = min(level, capacity)
    }

    /** Takes [amount] tokens if that many are available. Returns whether they were taken. */
    fun tryTake(
        nowMs: Long,
        amount: Double,
    ): Boolean {
        refill(nowMs)
        if (level + ROUNDING_TOLERANCE < amount) return false
        level -= amount
        return true
    }

    /** Deducts [amount] tokens that have already been used. Any shortfall becomes a debt. */
    fun charge(
        nowMs: Long,
        amount: Double,
    ) {
        refill(nowMs)
        level -= amount
    }

    /** Removes up to [amount] tokens for transfer to another bucket. Returns the number of tokens removed. */
    fun withdraw(
        nowMs: Long,
        amount: Double,
    ): Double {
        refill(nowMs)
        val taken = min(amount, level).coerceAtLeast(0.0)
        level -= taken
        return taken
    }

    /** Adds [amount] tokens that were transferred from another bucket or went unused. Tokens above the capacity are discarded. */
    fun deposit(
        nowMs: Long,
        amount: Double,
    ) {
        refill(nowMs)
        level = min(capacity, level + amount)
    }

    /** Removes all tokens. A debt remains. */
    fun drain(nowMs: Long) {
        refill(nowMs)
        level = min(level, 0.0)
    }

    /** Returns the time in ms until [amount] tokens are available, or null if they never will be at this rate and capacity. */
    fun timeUntilAvailableMs(
        nowMs: Long,
        amount: Double,
    ): Long? {
        refill(nowMs)
        return peekTimeUntilAvailableMs(nowMs, amount)
    }

    /** Returns what [timeUntilAvailableMs] does, without a refill that would be stored. */
    fun peekTimeUntilAvailableMs(
        nowMs: Long,
        amount: Double,
    ): Long? {
        val missing = amount - peekLevel(nowMs)
        return when {
            missing <= ROUNDING_TOLERANCE -> 0
            amount > capacity + ROUNDING_TOLERANCE || ratePerS <= 0.0 -> null
            else -> ceil(missing * MILLIS_PER_SECOND / ratePerS).toLong()
        }
    }

    /** Returns the number of tokens at [nowMs], without a refill that would be stored. */
    fun peekLevel(nowMs: Long): Double {
        if (nowMs <= refilledAtMs) return level
        val accrued = (nowMs - refilledAtMs) * ratePerS / MILLIS_PER_SECOND
        return min(capacity, level + accrued)
    }

    /** Returns a separate bucket with the rate, capacity and tokens that this one has at [nowMs]. */
    fun copyAt(nowMs: Long): TokenBucket = TokenBucket(ratePerS, capacity, nowMs, peekLevel(nowMs))

    companion object {
        /** Tolerance for floating-point rounding errors when token counts are compared. */
        const val ROUNDING_TOLERANCE: Double = 1e-6

        private const val MILLIS_PER_SECOND = 1000.0
    }
}
