package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId

/**
 * The borrower's record of a loan from [lender].
 *
 * [version] is the highest version received; it is kept after the loan has ended.
 */
internal class BorrowedLoan(
    val lender: HostId,
) {
    var version: Long = 0
    var units: Long = 0

    /** End of the loan on this host's clock. */
    var validUntilMs: Long = Long.MIN_VALUE

    /** Sequence number of the last change of terms, in the borrower's order of events. */
    var changeSequence: Long = 0

    /** Units that the borrower may keep according to a pending recall, or null if there is none. */
    var recalledToUnits: Long? = null

    /** Returns whether the loan provides units at [nowMs]. */
    fun isLive(nowMs: Long): Boolean = units > 0 && nowMs < validUntilMs
}

/** All loans of one limit that this host has borrowed. */
internal class BorrowedLoans {
    private val byLender = sortedMapOf<HostId, BorrowedLoan>()

    /** Units of all loans that have not yet been marked as expired. */
    var totalUnits: Long = 0
        private set

    /** Time at which the next loan expires, or [Long.MAX_VALUE] if there is no loan. */
    var nextExpiryMs: Long = Long.MAX_VALUE
        private set

    val all: Collection<BorrowedLoan>
        get() = byLender.values

    fun isEmpty(): Boolean = byLender.isEmpty()

    operator fun get(lender: HostId): BorrowedLoan? = byLender[lender]

    fun getOrCreate(lender: HostId): BorrowedLoan = byLender.getOrPut(lender) { BorrowedLoan(lender) }

    /** Sets the units of all loans that have expired by [nowMs] to zero. */
    fun expire(nowMs: Long) {
        byLender.values.filter { nowMs >= it.validUntilMs }.forEach { it.units = 0 }
        recomputeTotals()
    }

    /**
     * Removes the records of loans that have no units and expired more than [retentionMs] before [nowMs]. Delayed messages about
     * them can no longer take effect.
     */
    fun removeExpired(
        nowMs: Long,
        retentionMs: Long,
    ) {
        byLender.values.removeIf { it.units == 0L && nowMs - it.validUntilMs > retentionMs }
    }

    /** Removes the loan from [lender]. */
    fun remove(lender: HostId) {
        byLender.remove(lender)
        recomputeTotals()
    }

    /** Removes all loans. */
    fun clear() {
        byLender.clear()
        recomputeTotals()
    }

    /** Recomputes [totalUnits] and [nextExpiryMs] after a change to loans. */
    fun recomputeTotals() {
        val loansWithUnits = byLender.values.filter { it.units > 0 }
        totalUnits = loansWithUnits.sumOf { it.units }
        nextExpiryMs = loansWithUnits.minOfOrNull { it.validUntilMs } ?: Long.MAX_VALUE
    }
}
