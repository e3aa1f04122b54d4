package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import kotlin.math.max
import kotlin.math.min

/** The lender side of the loan protocol: grants, renews and recalls loans of the host's base units. */
internal class LendingProtocol(
    private val fleet: FleetMembership,
    private val settings: LedgerSettings,
    private val states: Map<LimitId, LimitState>,
    private val onLoanEvent: (LoanEvent) -> Unit,
) {
    private val borrowerStates = sortedMapOf<HostId, BorrowerState>()
    private val pendingTerms = sortedMapOf<HostId, MutableList<LoanTerms>>()
    private val pendingRecalls = sortedMapOf<HostId, MutableList<RecalledLoan>>()
    private val pendingReplies = mutableListOf<OutgoingLedgerMessage>()
    private var lastVersion = 0L

    /** Whether the host is leaving the fleet and keeps no units for itself. */
    var isLeaving: Boolean = false

    /** Records the needs of [from]. Returns the limits to rebalance. */
    fun onRequest(
        nowMs: Long,
        from: HostIncarnation,
        request: LedgerMessage.LoanRequest,
    ): List<LimitState> {
        if (!borrowerStateOf(from).acceptNonce(nowMs, request.nonce)) return emptyList()
        val known = request.needs.mapNotNull { need -> states[need.limit]?.let { it to need } }
        known.forEach { (state, need) -> state.lent.recordNeed(from, RecordedNeed(need.units, nowMs)) }
        return known.map { (state, _) -> state }
    }

    /** Renews all loans to [from], or reissues their terms if the two sides disagree on them. */
    fun onRenewal(
        nowMs: Long,
        from: HostIncarnation,
        renewal: LedgerMessage.LoanRenewal,
    ) {
        val borrowerState = borrowerStateOf(from)
        if (!borrowerState.acceptNonce(nowMs, renewal.nonce) || durationMs(nowMs) <= 0) return
        val live = liveLoans(nowMs, borrowerState)
        val isDigestEqual = digestOf(live) == renewal.digest
        if (isDigestEqual) live.forEach { (_, loan) -> loan.confirm() }
        live.forEach { (state, _) -> state.lent.refresh(nowMs) }
        val renewable = live.filter { (state, _) -> isRenewable(state) }
        if (live.isEmpty()) return
        if (isDigestEqual && renewable.size == live.size) {
            renewable.forEach { (_, loan) -> loan.extend(commitmentEndMs(nowMs)) }
            pendingReplies +=
                OutgoingLedgerMessage(from.host, LedgerMessage.LoanRenewed(from.incarnation, renewal.nonce, durationMs(nowMs)))
        } else {
            renewable.forEach { (state, loan) -> reissueTerms(nowMs, state, from, loan) }
        }
    }

    /** Takes back the units that [from] returns. Returns the limits to rebalance. */
    fun onReturn(
        nowMs: Long,
        from: HostIncarnation,
        message: LedgerMessage.LoanReturn,
    ): List<LimitState> =
        message.returns.mapNotNull { returned ->
            val state = states[returned.limit]
            val loan = state?.lent?.get(from)
            if (loan != null) applyReturn(nowMs, state, from.host, loan, returned)
            state
        }

    /** Compares the loans of [state] with the fair shares, and grants or recalls units accordingly. */
    fun rebalance(
        nowMs: Long,
        state: LimitState,
    ) {
        if (!state.isActive || !fleet.hasStanding(nowMs)) return
        if (state.lent.isEmpty() && state.lent.needsByBorrower.isEmpty()) return
        val targets = fairTargetsOf(nowMs, state)
        val ownTarget = if (isLeaving) 0 else targets[fleet.self] ?: 0
        if (isAnyHostShort(nowMs, state, targets)) {
            state.lent.byBorrower
                .filterKeys { fleet.isMember(it) }
                .forEach { (borrower, loan) -> recallExcessUnits(nowMs, state, borrower, loan, targets[borrower.host] ?: 0) }
        }
        membersWithNeeds(state)
            .sortedBy { borrower -> state.lent[borrower]?.liveUnits(nowMs) ?: 0 }
            .forEach { borrower -> grantMissingUnits(nowMs, state, borrower, targets[borrower.host] ?: 0, ownTarget) }
    }

    /** Returns whether any host holds significantly less than its fair share, so that units must be recalled from others. */
    private fun isAnyHostShort(
        nowMs: Long,
        state: LimitState,
        targets: Map<HostId, Long>,
    ): Boolean {
        val ownTarget = if (isLeaving) 0 else targets[fleet.self] ?: 0
        if (ownTarget - state.ownUnits >= minChangeUnits(ownTarget)) return true
        return membersWithNeeds(state).any { borrower ->
            val target = targets[borrower.host] ?: 0
            target - (state.lent[borrower]?.liveUnits(nowMs) ?: 0) >= minChangeUnits(target)
        }
    }

    /** Returns the pending messages and clears them. */
    fun takeMessages(nowMs: Long): List<OutgoingLedgerMessage> {
        val messages =
            pendingReplies +
                pendingRecalls.mapNotNull { (host, recalls) ->
                    fleet.incarnationOf(host)?.let { OutgoingLedgerMessage(host, LedgerMessage.LoanRecall(it, recalls.toList())) }
                } +
                pendingTerms.mapNotNull { (host, terms) -> grantMessage(nowMs, host, terms.toList()) }
        pendingReplies.clear()
        pendingRecalls.clear()
        pendingTerms.clear()
        return messages
    }

    private fun grantMessage(
        nowMs: Long,
        host: HostId,
        terms: List<LoanTerms>,
    ): OutgoingLedgerMessage? {
        val borrowerState = borrowerStates[host] ?: return null
        return OutgoingLedgerMessage(
            host,
            LedgerMessage.LoanGrant(borrowerState.borrower.incarnation, borrowerState.lastNonce, durationMs(nowMs), terms),
        )
    }

    private fun fairTargetsOf(
        nowMs: Long,
        state: LimitState,
    ): Map<HostId, Long> {
        val own = HostDemand(fleet.self, if (isLeaving) 0 else state.limiter.neededUnits(nowMs))
        val others =
            membersWithNeeds(state).map {
                HostDemand(
                    it.host,
                    state.lent.needsByBorrower
                        .getValue(it)
                        .neededUnits,
                )
            }
        val pool = LenderPool(state.spec, fleet.self, state.baseShare.units, state.limiter.minUsefulUnits)
        return fairTargets(pool, others + own)
    }

    private fun membersWithNeeds(state: LimitState): List<HostIncarnation> =
        state.lent.needsByBorrower.keys
            .filter { fleet.isMember(it) }

    private fun minChangeUnits(target: Long): Long = max(1, target / MIN_CHANGE_DIVISOR)

    private fun recallExcessUnits(
        nowMs: Long,
        state: LimitState,
        borrower: HostIncarnation,
        loan: LentLoan,
        target: Long,
    ) {
        if (loan.liveUnits(nowMs) <= target) {
            loan.recalledToUnits = null
            return
        }
        if (loan.recalledToUnits == target && nowMs - loan.recalledAtMs < settings.renewalIntervalMs) return
        loan.recalledToUnits = target
        loan.recalledAtMs = nowMs
        onLoanEvent(LoanEvent(LoanEventKind.RECALLED, state.id, borrower.host, target))
        pendingRecalls.getOrPut(borrower.host) { mutableListOf() } += RecalledLoan(state.id, loan.latest.version, target)
    }

    /**
     * Lends [borrower] the units that it is short of [target], as far as this host has units above [ownTarget].
     *
     * Waits for the next request or renewal if the last one is too old: a loan lasts from when the borrower sent it.
     */
    private fun grantMissingUnits(
        nowMs: Long,
        state: LimitState,
        borrower: HostIncarnation,
        target: Long,
        ownTarget: Long,
    ) {
        val borrowerState = borrowerStates[borrower.host] ?: return
        if (nowMs - borrowerState.lastNonceAtMs > settings.loanDurationMs / 2 || durationMs(nowMs) <= 0) return
        state.advanceTo(nowMs, fleet.standing.validUntilMs)
        val loan = state.lent[borrower]
        val liveUnits = loan?.liveUnits(nowMs) ?: 0
        val committedUnits = loan?.committedUnits(nowMs) ?: 0
        val freeUnits = min(state.ownUnits - ownTarget, state.limiter.transferableUnits()).coerceAtLeast(0)
        val units = min(target, committedUnits + freeUnits)
        if (units - liveUnits >= minChangeUnits(target) || (units > liveUnits && units == target)) grant(nowMs, state, borrower, units)
    }

    /** Sends the terms of [loan] again, reduced to the recalled units unless slots above these may still be in use. */
    private fun reissueTerms(
        nowMs: Long,
        state: LimitState,
        borrower: HostIncarnation,
        loan: LentLoan,
    ) {
        if (borrower !in state.lent.needsByBorrower) return
        val maxUnits = loan.recalledToUnits.takeIf { state.limiter.maxHoldMs == 0L } ?: Long.MAX_VALUE
        grant(nowMs, state, borrower, min(loan.liveUnits(nowMs), maxUnits))
    }

    private fun grant(
        nowMs: Long,
        state: LimitState,
        borrower: HostIncarnation,
        units: Long,
    ) {
        state.advanceTo(nowMs, fleet.standing.validUntilMs)
        val loan = state.lent[borrower]
        val newlyLentUnits = max(0, units - (loan?.committedUnits(nowMs) ?: 0))
        val tokens = state.limiter.withdraw(nowMs, newlyLentUnits)
        val commitment = LoanCommitment(++lastVersion, units, commitmentEndMs(nowMs))
        if (loan == null) state.lent.put(borrower, LentLoan(commitment, state.limiter.maxHoldMs)) else loan.replace(nowMs, commitment)
        state.lent.refresh(nowMs)
        state.applyUnits(nowMs)
        borrowerStateOf(borrower).limits += state.id
        if (newlyLentUnits > 0) onLoanEvent(LoanEvent(LoanEventKind.LENT, state.id, borrower.host, units))
        pendingTerms.getOrPut(borrower.host) { mutableListOf() } += LoanTerms(state.id, commitment.version, units, toMicroTokens(tokens))
    }

    private fun applyReturn(
        nowMs: Long,
        state: LimitState,
        from: HostId,
        loan: LentLoan,
        returned: ReturnedLoan,
    ) {
        state.advanceTo(nowMs, fleet.standing.validUntilMs)
        val freedUnits = loan.reduce(returned.version, returned.keptUnits)
        state.lent.refresh(nowMs)
        state.applyUnits(nowMs)
        if (freedUnits == 0L) return
        state.limiter.deposit(nowMs, returned.microTokens / MICRO_TOKENS_PER_TOKEN)
        onLoanEvent(LoanEvent(LoanEventKind.TAKEN_BACK, state.id, from, loan.latest.units))
    }

    private fun liveLoans(
        nowMs: Long,
        borrowerState: BorrowerState,
    ): List<Pair<LimitState, LentLoan>> {
        borrowerState.limits.removeIf { states[it]?.lent?.get(borrowerState.borrower) == null }
        return borrowerState.limits
            .map { states.getValue(it) }
            .map { it to checkNotNull(it.lent[borrowerState.borrower]) }
            .filter { (_, loan) -> loan.liveUnits(nowMs) > 0 }
    }

    private fun digestOf(loans: List<Pair<LimitState, LentLoan>>): Long {
        val digest = LoanDigest()
        loans.forEach { (state, loan) -> digest.add(state.id, loan.latest.version, loan.latest.units) }
        return digest.value
    }

    private fun isRenewable(state: LimitState): Boolean = state.isActive && state.lent.committedUnits <= state.baseShare.units

    /** Returns the duration of a loan granted now. A loan never outlasts the lender's own standing. */
    private fun durationMs(nowMs: Long): Long = min(settings.loanDurationMs, fleet.standing.validUntilMs - nowMs)

    private fun commitmentEndMs(nowMs: Long): Long = nowMs + durationMs(nowMs) + settings.clockDriftMarginMs

    private fun borrowerStateOf(borrower: HostIncarnation): BorrowerState {
        val existing = borrowerStates[borrower.host]
        if (existing?.borrower == borrower) return existing
        return BorrowerState(borrower).also { borrowerStates[borrower.host] = it }
    }

    private companion object {
        /** Divisor of the fair share: a difference of less than this part of it is not worth a message. */
        const val MIN_CHANGE_DIVISOR = 8
    }
}
