package io.kumquatmill.limits.ledger

/** Enforces this host's share of one limit: the units that it may use at present. */
internal interface LocalLimiter {
    val spec: LimitSpec

    /** Maximum time for which a token may remain in use after the host has lost the unit behind it. */
    val maxHoldMs: Long

    /** Minimum number of units with which a host can take a token at all. */
    val minUsefulUnits: Long

    /** Replaces the definition of the limit by [spec], which must be of the same kind. */
    fun updateSpec(
        nowMs: Long,
        spec: LimitSpec,
    )

    /** Advances to [nowMs] with the present units. */
    fun advance(nowMs: Long)

    /** Advances to [nowMs] without any units. */
    fun skipTo(nowMs: Long)

    /** Sets the number of units that may be used from [nowMs] on. */
    fun setUnits(
        nowMs: Long,
        units: Long,
    )

    /** Takes [amount] tokens if that many are available. Returns whether they were taken; both outcomes count as demand. */
    fun tryTake(
        nowMs: Long,
        amount: Long,
    ): Boolean

    /** Returns whether [amount] tokens are available. */
    fun isAvailable(
        nowMs: Long,
        amount: Long,
    ): Boolean

    /** Gives back [amount] tokens. */
    fun release(
        nowMs: Long,
        amount: Long,
    )

    /** Deducts [amount] tokens that have already been used. */
    fun charge(
        nowMs: Long,
        amount: Long,
    )

    /** Returns the time in ms until [amount] tokens are available with the present units, or null if that is never or unknown. */
    fun retryAfterMs(
        nowMs: Long,
        amount: Long,
    ): Long?

    /** Returns the number of units that are not in use and can be transferred to another host. */
    fun transferableUnits(): Long

    /** Removes the tokens that belong to [units] of the present units. Returns the number of tokens removed. */
    fun withdraw(
        nowMs: Long,
        units: Long,
    ): Double

    /** Adds tokens that were transferred together with units. */
    fun deposit(
        nowMs: Long,
        tokens: Double,
    )

    /** Removes all tokens. */
    fun drain(nowMs: Long)

    /** Returns the number of units that recent demand calls for. */
    fun neededUnits(nowMs: Long): Long

    /** Returns whether no slot is in use, or no debt is open in the case of a rate. */
    fun isIdle(): Boolean
}

/** Creates a limiter for [spec] with no units and no tokens. */
internal fun createLocalLimiter(
    spec: LimitSpec,
    settings: LedgerSettings,
    nowMs: Long,
): LocalLimiter =
    when (spec) {
        is LimitSpec.Rate -> LocalRateLimiter(spec, settings, nowMs)
        is LimitSpec.Slots -> LocalSlotLimiter(spec, settings)
    }
