package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import kotlin.math.max
import kotlin.math.min

/** All that a host knows of one limit. */
internal class LimitState(
    spec: LimitSpec,
    settings: LedgerSettings,
    val createdAtMs: Long,
    private val safeguards: Safeguards,
) {
    val id: LimitId = spec.id
    val meter: Meter = meterFor(spec, settings, createdAtMs)
    val anchor = AnchorShare()
    val lent = LentLoans()
    val borrowed = BorrowedLoans()

    /** Whether the limit is in force; a removed one stays until its loans are over. */
    var isActive: Boolean = true

    /** Home hosts of the limit as of the roster. */
    var homes: List<HostId> = emptyList()

    /** Units last asked of the homes, and when. */
    var askedUnits: Long = 0
    var askedAtMs: Long = Long.MIN_VALUE

    /** Times that the same request was repeated. */
    var repeats: Int = 0

    val spec: LimitSpec
        get() = meter.spec

    /** Units of its own that the host may use. */
    val ownUnits: Long
        get() = max(0, anchor.units - lent.committedUnits)

    /** All units that the host may use while it has standing. */
    val usableUnits: Long
        get() = ownUnits + borrowed.totalUnits

    /** Brings tokens and loans up to [nowMs]; the units gave tokens only until [validUntilMs]. */
    fun settle(
        nowMs: Long,
        validUntilMs: Long,
    ) {
        while (borrowed.nextExpiryMs <= nowMs) {
            val expiryMs = borrowed.nextExpiryMs
            meter.advance(min(expiryMs, validUntilMs))
            borrowed.expire(expiryMs)
            meter.resize(min(expiryMs, validUntilMs), usableUnits)
        }
        meter.advance(min(nowMs, validUntilMs))
        meter.skipTo(nowMs)
    }

    /** Tells the meter how many units there are now. */
    fun resize(nowMs: Long) {
        meter.resize(nowMs, usableUnits)
        if (!safeguards.startEmpty) meter.deposit(nowMs, Double.MAX_VALUE)
    }

    /** Forgets what it has of its own and borrowed, and all tokens; what is lent stays lent until it is over. */
    fun reset(nowMs: Long) {
        lent.clearNeeds()
        borrowed.clear()
        anchor.clear()
        meter.drain(nowMs)
        askedUnits = 0
        resize(nowMs)
    }

    /** Returns whether there is neither demand nor a loan. */
    fun isQuiet(nowMs: Long): Boolean =
        askedUnits == 0L && borrowed.isEmpty() && lent.isEmpty() && lent.needsByBorrower.isEmpty() && meter.neededUnits(nowMs) == 0L

    /** Returns whether a removed limit has nothing left that binds. */
    fun isForgettable(): Boolean = !isActive && lent.isEmpty() && borrowed.isEmpty() && meter.isIdle()
}
