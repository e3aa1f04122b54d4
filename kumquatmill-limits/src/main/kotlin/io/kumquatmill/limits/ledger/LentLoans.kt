package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlin.math.max
import kotlin.math.min

/** The incarnation of a host that has taken loans. */
internal data class Borrower(
    val host: HostId,
    val incarnation: Incarnation,
)

/** Terms that a lender has sent and that give the borrower units until [untilMs] at the latest. */
internal data class Promise(
    val version: Long,
    val units: Long,
    val untilMs: Long,
)

/**
 * A loan as its lender sees it: the latest promise, and earlier ones that the borrower may still live by.
 *
 * The borrower holds exactly one of them, so the largest one that is not over is taken off the lender's units.
 */
internal class LentLoan(
    latest: Promise,
    private val tailMs: Long,
) {
    var latest: Promise = latest
        private set

    private var earlier: List<Promise> = emptyList()

    /** Time of the last request to give units back. */
    var recalledAtMs: Long = Long.MIN_VALUE

    /** Units that the borrower was asked to keep at most, while it was asked to give some back. */
    var recalledTo: Long? = null

    /** Returns the units that the borrower may take tokens by at [nowMs]. */
    fun liveUnits(nowMs: Long): Long = if (nowMs < latest.untilMs) latest.units else 0

    /** Returns the units that the borrower may use at [nowMs], also for what began before its terms were over. */
    fun committedUnits(nowMs: Long): Long =
        max(
            latest.unitsAt(nowMs),
            earlier.maxOfOrNull { it.unitsAt(nowMs) } ?: 0,
        )

    /** Replaces the terms; the ones so far stay binding until they are over. */
    fun replace(
        nowMs: Long,
        promise: Promise,
    ) {
        earlier = (earlier + latest).filter { it.unitsAt(nowMs) > 0 }
        latest = promise
    }

    /** Notes that the borrower lives by the latest terms; what it began by earlier ones may still be in use. */
    fun confirm() {
        if (tailMs == 0L) earlier = emptyList()
    }

    /** Extends the latest terms to [untilMs]. */
    fun extend(untilMs: Long) {
        latest = latest.copy(untilMs = max(latest.untilMs, untilMs))
    }

    /** Notes that the borrower keeps only [keptUnits] of what it holds by [version]; returns the units freed in the latest terms. */
    fun reduce(
        version: Long,
        keptUnits: Long,
    ): Long {
        earlier = earlier.map { if (it.version <= version) it.copy(units = min(it.units, keptUnits)) else it }
        if (latest.version != version) return 0
        earlier = emptyList()
        val freed = max(0, latest.units - keptUnits)
        latest = latest.copy(units = latest.units - freed)
        return freed
    }

    private fun Promise.unitsAt(nowMs: Long): Long = if (nowMs < untilMs + tailMs) units else 0
}

/** The part of a limit that a host asked to have. */
internal data class RecordedNeed(
    val neededUnits: Long,
    val receivedAtMs: Long,
)

/** All loans of one limit that a host has given, and what other hosts asked for. */
internal class LentLoans {
    private val loans = linkedMapOf<Borrower, LentLoan>()
    private val needs = linkedMapOf<Borrower, RecordedNeed>()

    /** Units that borrowers may hold, as of the last refresh. */
    var committedUnits: Long = 0
        private set

    val byBorrower: Map<Borrower, LentLoan>
        get() = loans

    val needsByBorrower: Map<Borrower, RecordedNeed>
        get() = needs

    fun isEmpty(): Boolean = loans.isEmpty()

    operator fun get(borrower: Borrower): LentLoan? = loans[borrower]

    fun put(
        borrower: Borrower,
        loan: LentLoan,
    ) {
        loans[borrower] = loan
    }

    fun recordNeed(
        borrower: Borrower,
        need: RecordedNeed,
    ) {
        if (need.neededUnits == 0L) needs.remove(borrower) else needs[borrower] = need
    }

    /** Removes loans that are over at [nowMs], and needs without a loan that were not repeated within [needRetentionMs]. */
    fun expire(
        nowMs: Long,
        needRetentionMs: Long,
    ) {
        refresh(nowMs)
        needs.entries.removeIf { (borrower, need) -> borrower !in loans && nowMs - need.receivedAtMs > needRetentionMs }
    }

    /** Recomputes the committed units and drops loans that bind nothing any more. */
    fun refresh(nowMs: Long) {
        loans.values.removeIf { it.committedUnits(nowMs) == 0L }
        committedUnits = loans.values.sumOf { it.committedUnits(nowMs) }
    }

    /** Forgets what other hosts asked for. */
    fun clearNeeds() = needs.clear()
}
