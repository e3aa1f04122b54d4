package io.kumquatmill.limits.bucket

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Bucket of tokens that refills continuously at [ratePerS] up to [capacity].
 *
 * Use it for anything that is bounded as "rate x time + burst". It starts at [level] tokens, by default empty, and time is
 * passed in, so that a bucket never reads a clock. Times that lie before the last one seen are taken as that one.
 */
class TokenBucket(
    ratePerS: Double,
    capacity: Double,
    nowMs: Long,
    level: Double = 0.0,
) {
    /** Tokens that arrive in a second. */
    var ratePerS: Double = ratePerS
        private set

    /** Most tokens that the bucket holds. */
    var capacity: Double = capacity
        private set

    /** Tokens in the bucket as of the last operation; negative while a debt is open. */
    var level: Double = min(level, capacity)
        private set

    private var refilledAtMs: Long = nowMs

    /** Adds the tokens that have arrived since the last refill. */
    fun refill(nowMs: Long) {
        if (nowMs <= refilledAtMs) return
        val arrived = (nowMs - refilledAtMs) * ratePerS / MILLIS_PER_SECOND
        level = min(capacity, level + arrived)
        refilledAtMs = nowMs
    }

    /** Lets time pass without any refill, for a time in which the rate did not belong to the owner. */
    fun skipTo(nowMs: Long) {
        refilledAtMs = max(refilledAtMs, nowMs)
    }

    /** Sets a new rate and capacity from [nowMs] on; the level is clipped to the capacity and never raised. */
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

    /** Takes [amount] tokens if the bucket holds them; returns whether it did. */
    fun tryTake(
        nowMs: Long,
        amount: Double,
    ): Boolean {
        refill(nowMs)
        if (level + ROUNDING_TOLERANCE < amount) return false
        level -= amount
        return true
    }

    /** Takes [amount] tokens that have been used already; what the bucket does not hold becomes a debt. */
    fun charge(
        nowMs: Long,
        amount: Double,
    ) {
        refill(nowMs)
        level -= amount
    }

    /** Takes up to [amount] tokens, to hand them to another bucket, and returns how many it took. */
    fun withdraw(
        nowMs: Long,
        amount: Double,
    ): Double {
        refill(nowMs)
        val taken = min(amount, level).coerceAtLeast(0.0)
        level -= taken
        return taken
    }

    /** Adds [amount] tokens that were taken off another bucket or not used after all; what does not fit is lost. */
    fun deposit(
        nowMs: Long,
        amount: Double,
    ) {
        refill(nowMs)
        level = min(capacity, level + amount)
    }

    /** Removes all tokens; a debt stays. */
    fun drain(nowMs: Long) {
        refill(nowMs)
        level = min(level, 0.0)
    }

    /** Returns the time until [amount] tokens are there, or null if they never are at this rate and capacity. */
    fun timeUntilAvailableMs(
        nowMs: Long,
        amount: Double,
    ): Long? {
        refill(nowMs)
        val missing = amount - level
        return when {
            missing <= ROUNDING_TOLERANCE -> 0
            amount > capacity + ROUNDING_TOLERANCE || ratePerS <= 0.0 -> null
            else -> ceil(missing * MILLIS_PER_SECOND / ratePerS).toLong()
        }
    }

    companion object {
        /** Difference of token counts that comes from rounding and is not counted. */
        const val ROUNDING_TOLERANCE: Double = 1e-6

        private const val MILLIS_PER_SECOND = 1000.0
    }
}
