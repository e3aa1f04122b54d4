package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId

/** A loan as its borrower sees it; [version] is the highest one seen, also after the loan is over. */
internal class BorrowedLoan(
    val lender: HostId,
) {
    var version: Long = 0
    var units: Long = 0
    var validUntilMs: Long = Long.MIN_VALUE

    /** Position of the last change of terms in the borrower's order of events. */
    var changeSequence: Long = 0

    /** Units that the lender lets the borrower keep, while it wants some back. */
    var recalledTo: Long? = null

    /** Returns whether the loan gives units at [nowMs]. */
    fun isLive(nowMs: Long): Boolean = units > 0 && nowMs < validUntilMs
}

/** All loans of one limit that a host has taken. */
internal class BorrowedLoans {
    private val byLender = sortedMapOf<HostId, BorrowedLoan>()

    /** Units of all loans that have not been found expired yet. */
    var totalUnits: Long = 0
        private set

    /** Time at which the next loan expires. */
    var nextExpiryMs: Long = Long.MAX_VALUE
        private set

    val all: Collection<BorrowedLoan>
        get() = byLender.values

    fun isEmpty(): Boolean = byLender.isEmpty()

    operator fun get(lender: HostId): BorrowedLoan? = byLender[lender]

    fun getOrCreate(lender: HostId): BorrowedLoan = byLender.getOrPut(lender) { BorrowedLoan(lender) }

    /** Takes the units of all loans away that have expired at [nowMs]. */
    fun expire(nowMs: Long) {
        byLender.values.filter { nowMs >= it.validUntilMs }.forEach { it.units = 0 }
        refresh()
    }

    /** Forgets loans without units whose messages can't count any more at [nowMs]. */
    fun forget(
        nowMs: Long,
        retentionMs: Long,
    ) {
        byLender.values.removeIf { it.units == 0L && nowMs - it.validUntilMs > retentionMs }
    }

    /** Drops the loan of [lender]. */
    fun drop(lender: HostId) {
        byLender.remove(lender)
        refresh()
    }

    /** Drops all loans. */
    fun clear() {
        byLender.clear()
        refresh()
    }

    /** Recomputes the totals after loans were changed. */
    fun refresh() {
        val live = byLender.values.filter { it.units > 0 }
        totalUnits = live.sumOf { it.units }
        nextExpiryMs = live.minOfOrNull { it.validUntilMs } ?: Long.MAX_VALUE
    }
}
