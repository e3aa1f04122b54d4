package io.kumquatmill.limits.ledger

/** Counts what a host uses of one limit, within the units that it may use at the moment. */
internal interface Meter {
    val spec: LimitSpec

    /** Time for which a token stays in use after the right to it has ended. */
    val tailMs: Long

    /** Fewest units with which a host can use the limit at all. */
    val leastUsefulUnits: Long

    /** Adopts a changed [spec] of the same kind. */
    fun edit(
        nowMs: Long,
        spec: LimitSpec,
    )

    /** Lets time pass up to [nowMs] with the present units. */
    fun advance(nowMs: Long)

    /** Lets time pass up to [nowMs] without any units. */
    fun skipTo(nowMs: Long)

    /** Sets the units that may be used from [nowMs] on. */
    fun resize(
        nowMs: Long,
        units: Long,
    )

    fun tryTake(
        nowMs: Long,
        amount: Long,
    ): Boolean

    fun isAvailable(
        nowMs: Long,
        amount: Long,
    ): Boolean

    fun release(
        nowMs: Long,
        amount: Long,
    )

    fun charge(
        nowMs: Long,
        amount: Long,
    )

    /** Returns when [amount] may be there, or null if not at the present units. */
    fun retryAfterMs(
        nowMs: Long,
        amount: Long,
    ): Long?

    /** Returns how many units are not in use and may go to another host. */
    fun movableUnits(): Long

    /** Takes off the tokens that go with [units] of the present ones. */
    fun withdraw(
        nowMs: Long,
        units: Long,
    ): Double

    /** Adds tokens that came with units. */
    fun deposit(
        nowMs: Long,
        tokens: Double,
    )

    /** Removes all tokens. */
    fun drain(nowMs: Long)

    /** Returns the units that the recent demand calls for. */
    fun neededUnits(nowMs: Long): Long

    /** Returns whether nothing is in use. */
    fun isIdle(): Boolean
}

/** Returns a meter for [spec], without units and tokens. */
internal fun meterFor(
    spec: LimitSpec,
    settings: LedgerSettings,
    nowMs: Long,
): Meter =
    when (spec) {
        is LimitSpec.Rate -> RateMeter(spec, settings, nowMs)
        is LimitSpec.Slots -> SlotMeter(spec, settings)
    }
