package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlin.math.max
import kotlin.math.min

/** A host in one of its incarnations, such as a borrower or the sender of a message. */
internal data class HostIncarnation(
    val host: HostId,
    val incarnation: Incarnation,
)

/** Terms that a lender has sent. The borrower may use the units until [validUntilMs] of the lender's clock at the latest. */
internal data class LoanCommitment(
    val version: Long,
    val units: Long,
    val validUntilMs: Long,
)

/**
 * The lender's record of a loan: the latest commitment, and superseded ones that the borrower may still rely on.
 *
 * The borrower holds units by exactly one of them, so the lender reserves the largest one that has not ended.
 */
internal class LentLoan(
    latest: LoanCommitment,
    private val maxHoldMs: Long,
) {
    var latest: LoanCommitment = latest
        private set

    private var superseded: List<LoanCommitment> = emptyList()

    /** Time of the last recall. */
    var recalledAtMs: Long = Long.MIN_VALUE

    /** Units that the borrower may keep according to the pending recall, or null if there is none. */
    var recalledToUnits: Long? = null

    /** Returns the units that the latest terms entitle the borrower to at [nowMs]. */
    fun liveUnits(nowMs: Long): Long = if (nowMs < latest.validUntilMs) latest.units else 0

    /** Returns the units that the borrower may have in use at [nowMs], including use that began before its terms ended. */
    fun committedUnits(nowMs: Long): Long =
        max(
            latest.unitsAt(nowMs),
            superseded.maxOfOrNull { it.unitsAt(nowMs) } ?: 0,
        )

    /** Replaces the latest terms. The previous ones remain reserved until they end. */
    fun replace(
        nowMs: Long,
        commitment: LoanCommitment,
    ) {
        superseded = (superseded + latest).filter { it.unitsAt(nowMs) > 0 }
        latest = commitment
    }

    /** Records that the borrower holds the latest terms. Slots taken under superseded terms may still be in use. */
    fun confirm() {
        if (maxHoldMs == 0L) superseded = emptyList()
    }

    /** Extends the latest terms to [validUntilMs]; they are never shortened. */
    fun extend(validUntilMs: Long) {
        latest = latest.copy(validUntilMs = max(latest.validUntilMs, validUntilMs))
    }

    /**
     * Records that the borrower keeps only [keptUnits] of the units that it held under [version]. Returns the number of units by
     * which the latest terms were reduced; 0 if [version] is not the latest.
     */
    fun reduce(
        version: Long,
        keptUnits: Long,
    ): Long {
        superseded = superseded.map { if (it.version <= version) it.copy(units = min(it.units, keptUnits)) else it }
        if (latest.version != version) return 0
        superseded = emptyList()
        val freedUnits = max(0, latest.units - keptUnits)
        latest = latest.copy(units = latest.units - freedUnits)
        return freedUnits
    }

    private fun LoanCommitment.unitsAt(nowMs: Long): Long = if (nowMs < validUntilMs + maxHoldMs) units else 0
}

/** Units of a limit that a host has requested. */
internal data class RecordedNeed(
    val neededUnits: Long,
    val receivedAtMs: Long,
)

/** All loans of one limit that this host has granted, and the needs that other hosts have reported. */
internal class LentLoans {
    private val loans = linkedMapOf<HostIncarnation, LentLoan>()
    private val needs = linkedMapOf<HostIncarnation, RecordedNeed>()

    /** Units committed to borrowers, as of the last refresh. */
    var committedUnits: Long = 0
        private set

    val byBorrower: Map<HostIncarnation, LentLoan>
        get() = loans

    val needsByBorrower: Map<HostIncarnation, RecordedNeed>
        get() = needs

    fun isEmpty(): Boolean = loans.isEmpty()

    operator fun get(borrower: HostIncarnation): LentLoan? = loans[borrower]

    fun put(
        borrower: HostIncarnation,
        loan: LentLoan,
    ) {
        loans[borrower] = loan
    }

    fun recordNeed(
        borrower: HostIncarnation,
        need: RecordedNeed,
    ) {
        if (need.neededUnits == 0L) needs.remove(borrower) else needs[borrower] = need
    }

    /** Removes loans that have ended by [nowMs], and needs without a loan that were not repeated within [needRetentionMs]. */
    fun expire(
        nowMs: Long,
        needRetentionMs: Long,
    ) {
        refresh(nowMs)
        needs.entries.removeIf { (borrower, need) -> borrower !in loans && nowMs - need.receivedAtMs > needRetentionMs }
    }

    /** Recomputes [committedUnits] and removes loans that commit no units any more. */
    fun refresh(nowMs: Long) {
        loans.values.removeIf { it.committedUnits(nowMs) == 0L }
        committedUnits = loans.values.sumOf { it.committedUnits(nowMs) }
    }

    /** Discards the needs that other hosts have reported. */
    fun clearNeeds() = needs.clear()
}
