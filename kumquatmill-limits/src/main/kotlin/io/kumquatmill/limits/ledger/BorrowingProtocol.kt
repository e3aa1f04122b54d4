package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import kotlin.math.max
import kotlin.math.min

/** The borrower side of the loan protocol: requests, renews and returns loans. */
internal class BorrowingProtocol(
    private val fleet: FleetMembership,
    private val settings: LedgerSettings,
    private val states: Map<LimitId, LimitState>,
    private val safeguards: Safeguards,
    private val onLoanEvent: (LoanEvent) -> Unit,
) {
    private val lenderStates = sortedMapOf<HostId, LenderState>()
    private val pendingNeeds = sortedMapOf<HostId, MutableList<LoanNeed>>()
    private val pendingReturns = sortedMapOf<HostId, MutableList<ReturnedLoan>>()
    private val pendingRenewals = mutableListOf<OutgoingLedgerMessage>()
    private var lastNonce = 0L
    private var sequence = 0L

    /** Whether the host is leaving the fleet and needs no units any more. */
    var isLeaving: Boolean = false

    /** Drops the loans from lender incarnations that are no longer members. */
    fun onRoster(nowMs: Long) {
        val departed = lenderStates.values.filter { fleet.incarnationOf(it.host) != it.incarnation }
        departed.forEach { lenderState ->
            lenderStates.remove(lenderState.host)
            states.values.filter { it.borrowed[lenderState.host] != null }.forEach { state ->
                state.borrowed.remove(lenderState.host)
                state.applyUnits(nowMs)
            }
        }
    }

    /** Drops the state of all lenders, including nonces that await a reply. */
    fun clear() = lenderStates.clear()

    /**
     * Applies the terms of a grant. Returns the limits to rebalance.
     *
     * Terms requested before the state of their limit was created are ignored, because they belong to an earlier state.
     */
    fun onGrant(
        nowMs: Long,
        from: HostId,
        grant: LedgerMessage.LoanGrant,
    ): List<LimitState> {
        val sent = lenderStates[from]?.sentNonce(grant.nonce) ?: return emptyList()
        val validUntilMs = validUntilMs(nowMs, sent, grant.durationMs)
        return grant.terms.mapNotNull { terms ->
            val state = states[terms.limit]
            when {
                state == null -> returnUnknownLoan(from, terms)
                sent.sentAtMs > state.createdAtMs -> applyTerms(nowMs, state, from, terms, validUntilMs)
            }
            state
        }
    }

    /** Extends all loans that were held when the renewal was sent. */
    fun onRenewed(
        nowMs: Long,
        from: HostId,
        renewed: LedgerMessage.LoanRenewed,
    ) {
        val lenderState = lenderStates[from] ?: return
        val sent = lenderState.sentNonce(renewed.nonce) ?: return
        val validUntilMs = validUntilMs(nowMs, sent, renewed.durationMs)
        heldLoans(nowMs, lenderState)
            .filter { (_, loan) -> loan.changeSequence <= sent.sequence }
            .forEach { (state, loan) ->
                loan.validUntilMs = max(loan.validUntilMs, validUntilMs)
                state.borrowed.recomputeTotals()
            }
    }

    /** Returns the recalled units as far as they are not in use. */
    fun onRecall(
        nowMs: Long,
        from: HostId,
        recall: LedgerMessage.LoanRecall,
    ) {
        recall.recalls.forEach { recalled ->
            val state = states[recalled.limit] ?: return@forEach
            val loan = state.borrowed[from] ?: return@forEach
            if (loan.version > recalled.version) return@forEach
            loan.recalledToUnits = recalled.units
            returnUnits(nowMs, state, loan, recalled.units)
        }
    }

    /** Compares the needed and available units of [state]. Requests loans from its home hosts or returns loans. */
    fun rebalance(
        nowMs: Long,
        state: LimitState,
    ) {
        state.advanceTo(nowMs, fleet.standing.validUntilMs)
        val need = if (state.isActive && !isLeaving) state.limiter.neededUnits(nowMs) else 0
        val requested = if (need > state.ownUnits) need else 0
        when {
            isNeedChanged(state, requested) -> request(nowMs, state, requested, state.homes)
            isRetryDue(nowMs, state, requested) -> retry(nowMs, state, requested)
        }
        state.borrowed.all.filter { it.units > 0 }.forEach { loan ->
            val keptUnits = if (requested == 0L) 0 else loan.recalledToUnits ?: loan.units
            returnUnits(nowMs, state, loan, keptUnits)
        }
        state.borrowed.removeExpired(nowMs, settings.loanDurationMs)
    }

    /** Renews the loans from all lenders whose renewal interval has elapsed. */
    fun renew(nowMs: Long) {
        val intervalMs = renewalIntervalMs()
        lenderStates.values.filter { nowMs - it.lastRenewalAtMs >= intervalMs }.forEach { lenderState ->
            val held = heldLoans(nowMs, lenderState)
            if (held.isEmpty() && lenderState.lastRequestAtMs <= lenderState.lastRenewalAtMs) return@forEach
            val digest = LoanDigest()
            held.forEach { (state, loan) -> digest.add(state.id, loan.version, loan.units) }
            lenderState.lastRenewalAtMs = nowMs
            pendingRenewals +=
                OutgoingLedgerMessage(
                    lenderState.host,
                    LedgerMessage.LoanRenewal(lenderState.incarnation, nextNonce(nowMs, lenderState), digest.value),
                )
        }
    }

    /** Returns the pending messages and clears them. */
    fun takeMessages(nowMs: Long): List<OutgoingLedgerMessage> {
        val messages =
            pendingReturns.mapNotNull { (host, returns) ->
                fleet.incarnationOf(host)?.let { OutgoingLedgerMessage(host, LedgerMessage.LoanReturn(it, returns.toList())) }
            } +
                pendingNeeds.mapNotNull { (host, needs) -> requestMessage(nowMs, host, needs.toList()) } +
                pendingRenewals
        pendingReturns.clear()
        pendingNeeds.clear()
        pendingRenewals.clear()
        return messages
    }

    private fun renewalIntervalMs(): Long {
        val lenders = lenderStates.values.count { it.limits.isNotEmpty() }
        val scaledIntervalMs = settings.renewalIntervalMs * lenders / settings.maxLendersAtRenewalInterval
        return scaledIntervalMs.coerceIn(settings.renewalIntervalMs, max(settings.renewalIntervalMs, settings.maxRenewalIntervalMs))
    }

    private fun requestMessage(
        nowMs: Long,
        host: HostId,
        needs: List<LoanNeed>,
    ): OutgoingLedgerMessage? {
        val lenderState = lenderStateOf(host) ?: return null
        lenderState.lastRequestAtMs = nowMs
        return OutgoingLedgerMessage(host, LedgerMessage.LoanRequest(lenderState.incarnation, nextNonce(nowMs, lenderState), needs))
    }

    private fun isNeedChanged(
        state: LimitState,
        requested: Long,
    ): Boolean {
        if (requested == 0L || state.requestedUnits == 0L) return requested != state.requestedUnits
        return requested > state.requestedUnits * GROWTH_RATIO || requested < state.requestedUnits * SHRINK_RATIO
    }

    private fun isRetryDue(
        nowMs: Long,
        state: LimitState,
        requested: Long,
    ): Boolean = state.usableUnits < requested && nowMs - state.requestedAtMs >= settings.requestRetryIntervalMs

    private fun request(
        nowMs: Long,
        state: LimitState,
        units: Long,
        homes: List<HostId>,
    ) {
        if (units != state.requestedUnits) state.retries = 0
        state.requestedUnits = units
        state.requestedAtMs = nowMs
        homes.filter { it != fleet.self }.forEach { home ->
            pendingNeeds.getOrPut(home) { mutableListOf() } += LoanNeed(state.id, units)
        }
    }

    /**
     * Repeats a request in case it was lost. After a few retries it is sent only to home hosts that have lent nothing, because the
     * other ones must have received it.
     */
    private fun retry(
        nowMs: Long,
        state: LimitState,
        requested: Long,
    ) {
        state.retries++
        val isLimitedToNonLenders = state.retries > RETRIES_TO_ALL_HOMES
        request(
            nowMs,
            state,
            state.requestedUnits.coerceAtLeast(requested),
            state.homes.filter { !isLimitedToNonLenders || state.borrowed[it]?.isLive(nowMs) != true },
        )
    }

    private fun applyTerms(
        nowMs: Long,
        state: LimitState,
        from: HostId,
        terms: LoanTerms,
        validUntilMs: Long,
    ) {
        if (nowMs >= validUntilMs) return
        state.advanceTo(nowMs, fleet.standing.validUntilMs)
        val loan = state.borrowed.getOrCreate(from)
        if (terms.version <= loan.version && safeguards.checkVersions) return
        if (terms.units != loan.units) onLoanEvent(LoanEvent(LoanEventKind.BORROWED, state.id, from, terms.units))
        loan.version = terms.version
        loan.units = terms.units
        loan.validUntilMs = validUntilMs
        loan.changeSequence = ++sequence
        loan.recalledToUnits = null
        state.borrowed.recomputeTotals()
        state.applyUnits(nowMs)
        state.limiter.deposit(nowMs, terms.microTokens / MICRO_TOKENS_PER_TOKEN)
        lenderStates.getValue(from).limits += state.id
    }

    private fun returnUnits(
        nowMs: Long,
        state: LimitState,
        loan: BorrowedLoan,
        keptUnits: Long,
    ) {
        state.advanceTo(nowMs, fleet.standing.validUntilMs)
        val returnedUnits = min(loan.units - keptUnits, state.limiter.transferableUnits())
        if (returnedUnits <= 0) return
        val tokens = state.limiter.withdraw(nowMs, returnedUnits)
        loan.units -= returnedUnits
        state.borrowed.recomputeTotals()
        state.applyUnits(nowMs)
        onLoanEvent(LoanEvent(LoanEventKind.RETURNED, state.id, loan.lender, loan.units))
        pendingReturns.getOrPut(loan.lender) { mutableListOf() } += ReturnedLoan(state.id, loan.version, loan.units, toMicroTokens(tokens))
    }

    /** Returns a loan of a limit that this host does not know. */
    private fun returnUnknownLoan(
        from: HostId,
        terms: LoanTerms,
    ) {
        pendingReturns.getOrPut(from) { mutableListOf() } += ReturnedLoan(terms.limit, terms.version, 0, terms.microTokens)
    }

    private fun heldLoans(
        nowMs: Long,
        lenderState: LenderState,
    ): List<Pair<LimitState, BorrowedLoan>> {
        lenderState.limits.removeIf { states[it]?.borrowed?.get(lenderState.host) == null }
        val held = lenderState.limits.map { states.getValue(it) }
        held.forEach { it.advanceTo(nowMs, fleet.standing.validUntilMs) }
        return held.map { it to checkNotNull(it.borrowed[lenderState.host]) }.filter { (_, loan) -> loan.isLive(nowMs) }
    }

    private fun lenderStateOf(host: HostId): LenderState? {
        val incarnation = fleet.incarnationOf(host) ?: return null
        return lenderStates.getOrPut(host) { LenderState(host, incarnation) }
    }

    private fun nextNonce(
        nowMs: Long,
        lenderState: LenderState,
    ): Long {
        lastNonce++
        lenderState.recordNonce(SentNonce(lastNonce, nowMs, sequence), settings.loanDurationMs)
        return lastNonce
    }

    /** Returns the end of a loan. Its duration counts from when the borrower sent [sent], however late the reply arrives. */
    private fun validUntilMs(
        nowMs: Long,
        sent: SentNonce,
        durationMs: Long,
    ): Long = (if (safeguards.countLoanFromRequest) sent.sentAtMs else nowMs) + min(durationMs, settings.loanDurationMs)

    private companion object {
        /** Ratio of needed to requested units above which the lenders are informed of the new need. */
        const val GROWTH_RATIO = 1.1

        /** Ratio of needed to requested units below which the lenders are informed of the new need. */
        const val SHRINK_RATIO = 0.7

        /** Number of retries that go to all home hosts; later ones go only to home hosts that have lent nothing. */
        const val RETRIES_TO_ALL_HOMES = 2
    }
}
