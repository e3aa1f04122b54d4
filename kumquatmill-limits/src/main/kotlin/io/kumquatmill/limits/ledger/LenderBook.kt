package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import kotlin.math.max
import kotlin.math.min

/** The lending side of a ledger: grants, renews and recalls loans of the host's own units. */
internal class LenderBook(
    private val fleet: Fleet,
    private val settings: LedgerSettings,
    private val states: Map<LimitId, LimitState>,
    private val onChange: (ShareChange) -> Unit,
) {
    private val pairs = sortedMapOf<HostId, BorrowerPair>()
    private val terms = sortedMapOf<HostId, MutableList<LoanTerms>>()
    private val recalls = sortedMapOf<HostId, MutableList<RecalledLoan>>()
    private val replies = mutableListOf<LedgerSend>()
    private var lastVersion = 0L

    /** Whether the host keeps nothing for itself because it leaves. */
    var isLeaving: Boolean = false

    /** Notes what [from] needs; returns the limits to review. */
    fun onRequest(
        nowMs: Long,
        from: Borrower,
        request: LedgerMessage.LoanRequest,
    ): List<LimitState> {
        if (!pairOf(from).note(nowMs, request.nonce)) return emptyList()
        val known = request.needs.mapNotNull { need -> states[need.limit]?.let { it to need } }
        known.forEach { (state, need) -> state.lent.recordNeed(from, RecordedNeed(need.units, nowMs)) }
        return known.map { (state, _) -> state }
    }

    /** Renews all loans of [from], or states them anew if both sides see them differently. */
    fun onRenewal(
        nowMs: Long,
        from: Borrower,
        renewal: LedgerMessage.LoanRenewal,
    ) {
        val pair = pairOf(from)
        if (!pair.note(nowMs, renewal.nonce) || durationMs(nowMs) <= 0) return
        val live = liveLoans(nowMs, pair)
        val agrees = digestOf(live) == renewal.digest
        if (agrees) live.forEach { (_, loan) -> loan.confirm() }
        live.forEach { (state, _) -> state.lent.refresh(nowMs) }
        val renewable = live.filter { (state, _) -> isRenewable(state) }
        if (live.isEmpty()) return
        if (agrees && renewable.size == live.size) {
            renewable.forEach { (_, loan) -> loan.extend(untilMs(nowMs)) }
            replies += LedgerSend(from.host, LedgerMessage.LoanRenewed(from.incarnation, renewal.nonce, durationMs(nowMs)))
        } else {
            renewable.forEach { (state, loan) -> restate(nowMs, state, from, loan) }
        }
    }

    /** Takes back what [from] has given up; returns the limits to review. */
    fun onReturn(
        nowMs: Long,
        from: Borrower,
        message: LedgerMessage.LoanReturn,
    ): List<LimitState> =
        message.returns.mapNotNull { returned ->
            val state = states[returned.limit]
            val loan = state?.lent?.get(from)
            if (loan != null) takeBack(nowMs, state, from.host, loan, returned)
            state
        }

    /** Compares the loans of [state] with the fair parts; grants and recalls what differs. */
    fun review(
        nowMs: Long,
        state: LimitState,
    ) {
        if (!state.isActive || !fleet.hasStanding(nowMs)) return
        if (state.lent.isEmpty() && state.lent.needsByBorrower.isEmpty()) return
        val targets = targetsOf(nowMs, state)
        val kept = if (isLeaving) 0 else targets[fleet.self] ?: 0
        if (isAnyShort(nowMs, state, targets)) {
            state.lent.byBorrower
                .filterKeys { fleet.isMember(it) }
                .forEach { (borrower, loan) -> recallExcess(nowMs, state, borrower, loan, targets[borrower.host] ?: 0) }
        }
        membersInNeed(state)
            .sortedBy { borrower -> state.lent[borrower]?.liveUnits(nowMs) ?: 0 }
            .forEach { borrower -> grantMissing(nowMs, state, borrower, targets[borrower.host] ?: 0, kept) }
    }

    /** Returns whether a host has clearly less than its fair part, so that others have to give units back. */
    private fun isAnyShort(
        nowMs: Long,
        state: LimitState,
        targets: Map<HostId, Long>,
    ): Boolean {
        val ownTarget = if (isLeaving) 0 else targets[fleet.self] ?: 0
        if (ownTarget - state.ownUnits >= stepOf(ownTarget)) return true
        return membersInNeed(state).any { borrower ->
            val target = targets[borrower.host] ?: 0
            target - (state.lent[borrower]?.liveUnits(nowMs) ?: 0) >= stepOf(target)
        }
    }

    /** Returns the messages that are due. */
    fun drain(nowMs: Long): List<LedgerSend> {
        val sends =
            replies +
                recalls.mapNotNull { (host, recalls) ->
                    fleet.incarnationOf(host)?.let { LedgerSend(host, LedgerMessage.LoanRecall(it, recalls.toList())) }
                } +
                terms.mapNotNull { (host, terms) -> grantMessage(nowMs, host, terms.toList()) }
        replies.clear()
        recalls.clear()
        terms.clear()
        return sends
    }

    private fun grantMessage(
        nowMs: Long,
        host: HostId,
        terms: List<LoanTerms>,
    ): LedgerSend? {
        val pair = pairs[host] ?: return null
        return LedgerSend(host, LedgerMessage.LoanGrant(pair.borrower.incarnation, pair.lastNonce, durationMs(nowMs), terms))
    }

    private fun targetsOf(
        nowMs: Long,
        state: LimitState,
    ): Map<HostId, Long> {
        val own = Party(fleet.self, if (isLeaving) 0 else state.meter.neededUnits(nowMs))
        val others =
            membersInNeed(state).map {
                Party(
                    it.host,
                    state.lent.needsByBorrower
                        .getValue(it)
                        .neededUnits,
                )
            }
        val pool = Pool(state.spec, fleet.self, state.anchor.units, state.meter.leastUsefulUnits)
        return fairTargets(pool, others + own)
    }

    private fun membersInNeed(state: LimitState): List<Borrower> =
        state.lent.needsByBorrower.keys
            .filter { fleet.isMember(it) }

    private fun stepOf(target: Long): Long = max(1, target / SMALLEST_STEP_DIVISOR)

    private fun recallExcess(
        nowMs: Long,
        state: LimitState,
        borrower: Borrower,
        loan: LentLoan,
        target: Long,
    ) {
        if (loan.liveUnits(nowMs) <= target) {
            loan.recalledTo = null
            return
        }
        if (loan.recalledTo == target && nowMs - loan.recalledAtMs < settings.renewIntervalMs) return
        loan.recalledTo = target
        loan.recalledAtMs = nowMs
        onChange(ShareChange(ShareChangeKind.RECALLED, state.id, borrower.host, target))
        recalls.getOrPut(borrower.host) { mutableListOf() } += RecalledLoan(state.id, loan.latest.version, target)
    }

    private fun grantMissing(
        nowMs: Long,
        state: LimitState,
        borrower: Borrower,
        target: Long,
        kept: Long,
    ) {
        val pair = pairs[borrower.host] ?: return
        if (nowMs - pair.notedAtMs > settings.loanMs / 2 || durationMs(nowMs) <= 0) return
        state.settle(nowMs, fleet.standing.validUntilMs)
        val loan = state.lent[borrower]
        val held = loan?.liveUnits(nowMs) ?: 0
        val bound = loan?.committedUnits(nowMs) ?: 0
        val free = min(state.ownUnits - kept, state.meter.movableUnits()).coerceAtLeast(0)
        val units = min(target, bound + free)
        if (units - held >= stepOf(target) || (units > held && units == target)) grant(nowMs, state, borrower, units)
    }

    private fun restate(
        nowMs: Long,
        state: LimitState,
        borrower: Borrower,
        loan: LentLoan,
    ) {
        if (borrower !in state.lent.needsByBorrower) return
        val bound = loan.recalledTo.takeIf { state.meter.tailMs == 0L } ?: Long.MAX_VALUE
        grant(nowMs, state, borrower, min(loan.liveUnits(nowMs), bound))
    }

    private fun grant(
        nowMs: Long,
        state: LimitState,
        borrower: Borrower,
        units: Long,
    ) {
        state.settle(nowMs, fleet.standing.validUntilMs)
        val known = state.lent[borrower]
        val taken = max(0, units - (known?.committedUnits(nowMs) ?: 0))
        val tokens = state.meter.withdraw(nowMs, taken)
        val promise = Promise(++lastVersion, units, untilMs(nowMs))
        if (known == null) state.lent.put(borrower, LentLoan(promise, state.meter.tailMs)) else known.replace(nowMs, promise)
        state.lent.refresh(nowMs)
        state.resize(nowMs)
        pairOf(borrower).limits += state.id
        if (taken > 0) onChange(ShareChange(ShareChangeKind.LENT, state.id, borrower.host, units))
        terms.getOrPut(borrower.host) { mutableListOf() } += LoanTerms(state.id, promise.version, units, microTokens(tokens))
    }

    private fun takeBack(
        nowMs: Long,
        state: LimitState,
        from: HostId,
        loan: LentLoan,
        returned: ReturnedLoan,
    ) {
        state.settle(nowMs, fleet.standing.validUntilMs)
        val freed = loan.reduce(returned.version, returned.keptUnits)
        state.lent.refresh(nowMs)
        state.resize(nowMs)
        if (freed == 0L) return
        state.meter.deposit(nowMs, returned.microTokens / MICRO)
        onChange(ShareChange(ShareChangeKind.TAKEN_BACK, state.id, from, loan.latest.units))
    }

    private fun liveLoans(
        nowMs: Long,
        pair: BorrowerPair,
    ): List<Pair<LimitState, LentLoan>> {
        pair.limits.removeIf { states[it]?.lent?.get(pair.borrower) == null }
        return pair.limits
            .map { states.getValue(it) }
            .map { it to checkNotNull(it.lent[pair.borrower]) }
            .filter { (_, loan) -> loan.liveUnits(nowMs) > 0 }
    }

    private fun digestOf(loans: List<Pair<LimitState, LentLoan>>): Long {
        val digest = LoanDigest()
        loans.forEach { (state, loan) -> digest.add(state.id, loan.latest.version, loan.latest.units) }
        return digest.value
    }

    private fun isRenewable(state: LimitState): Boolean = state.isActive && state.lent.committedUnits <= state.anchor.units

    /** Loans never outlive the lender's own standing. */
    private fun durationMs(nowMs: Long): Long = min(settings.loanMs, fleet.standing.validUntilMs - nowMs)

    private fun untilMs(nowMs: Long): Long = nowMs + durationMs(nowMs) + settings.driftMarginMs

    private fun pairOf(borrower: Borrower): BorrowerPair {
        val known = pairs[borrower.host]
        if (known?.borrower == borrower) return known
        return BorrowerPair(borrower).also { pairs[borrower.host] = it }
    }

    private companion object {
        /** Part of the fair units below which a difference is not worth a message. */
        const val SMALLEST_STEP_DIVISOR = 8
    }
}
