package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import kotlin.math.max
import kotlin.math.min

/** State that a host keeps for one limit. */
internal class LimitState(
    spec: LimitSpec,
    settings: LedgerSettings,
    val createdAtMs: Long,
    private val safeguards: Safeguards,
) {
    val id: LimitId = spec.id
    val limiter: LocalLimiter = createLocalLimiter(spec, settings, createdAtMs)
    val baseShare = BaseShare()
    val lent = LentLoans()
    val borrowed = BorrowedLoans()

    /** Whether the limit is in force. The state of a removed limit is kept until its loans have ended. */
    var isActive: Boolean = true

    /** Home hosts of the limit under the current roster. */
    var homes: List<HostId> = emptyList()

    /** Units last requested from the home hosts; 0 if no loan is needed. */
    var requestedUnits: Long = 0

    /** Time of the last request. */
    var requestedAtMs: Long = Long.MIN_VALUE

    /** Number of times that the current request was repeated. */
    var retries: Int = 0

    val spec: LimitSpec
        get() = limiter.spec

    /** Base units that are not lent. */
    val ownUnits: Long
        get() = max(0, baseShare.units - lent.committedUnits)

    /** All units that the host may use while it has standing. */
    val usableUnits: Long
        get() = ownUnits + borrowed.totalUnits

    /** Advances tokens and loans to [nowMs]. Units yield tokens only until [validUntilMs], when the standing ends. */
    fun advanceTo(
        nowMs: Long,
        validUntilMs: Long,
    ) {
        while (borrowed.nextExpiryMs <= nowMs) {
            val expiryMs = borrowed.nextExpiryMs
            limiter.advance(min(expiryMs, validUntilMs))
            borrowed.expire(expiryMs)
            limiter.setUnits(min(expiryMs, validUntilMs), usableUnits)
        }
        limiter.advance(min(nowMs, validUntilMs))
        limiter.skipTo(nowMs)
    }

    /** Passes the current number of usable units to the limiter. */
    fun applyUnits(nowMs: Long) {
        limiter.setUnits(nowMs, usableUnits)
        if (!safeguards.startEmpty) limiter.deposit(nowMs, Double.MAX_VALUE)
    }

    /** Drops base units, borrowed loans and all tokens. Lent units remain committed until their loans end. */
    fun reset(nowMs: Long) {
        lent.clearNeeds()
        borrowed.clear()
        baseShare.clear()
        limiter.drain(nowMs)
        requestedUnits = 0
        applyUnits(nowMs)
    }

    /** Returns whether there is no demand and no loan. */
    fun isUnused(nowMs: Long): Boolean =
        requestedUnits == 0L && borrowed.isEmpty() && lent.isEmpty() && lent.needsByBorrower.isEmpty() && limiter.neededUnits(nowMs) == 0L

    /** Returns whether the limit was removed and none of its loans or tokens are in use any more. */
    fun isRemovable(): Boolean = !isActive && lent.isEmpty() && borrowed.isEmpty() && limiter.isIdle()
}
