package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import kotlin.math.max
import kotlin.math.min

/** The borrowing side of a ledger: asks for loans, renews them and gives them back. */
internal class BorrowerBook(
    private val fleet: Fleet,
    private val settings: LedgerSettings,
    private val states: Map<LimitId, LimitState>,
    private val safeguards: Safeguards,
    private val onChange: (ShareChange) -> Unit,
) {
    private val pairs = sortedMapOf<HostId, LenderPair>()
    private val needs = sortedMapOf<HostId, MutableList<LoanNeed>>()
    private val returns = sortedMapOf<HostId, MutableList<ReturnedLoan>>()
    private val renewals = mutableListOf<LedgerSend>()
    private var lastNonce = 0L
    private var sequence = 0L

    /** Whether the host needs nothing any more because it leaves. */
    var isLeaving: Boolean = false

    /** Drops what was borrowed from incarnations that are gone. */
    fun onRoster(nowMs: Long) {
        val gone = pairs.values.filter { fleet.incarnationOf(it.host) != it.incarnation }
        gone.forEach { pair ->
            pairs.remove(pair.host)
            states.values.filter { it.borrowed[pair.host] != null }.forEach { state ->
                state.borrowed.drop(pair.host)
                state.resize(nowMs)
            }
        }
    }

    /** Drops all loans and open questions. */
    fun clear() = pairs.clear()

    /** Adopts the terms of a grant; returns the limits to review. */
    fun onGrant(
        nowMs: Long,
        from: HostId,
        grant: LedgerMessage.LoanGrant,
    ): List<LimitState> {
        val sent = pairs[from]?.sentNonce(grant.nonce) ?: return emptyList()
        val validUntilMs = validUntilMs(nowMs, sent, grant.durationMs)
        return grant.terms.mapNotNull { terms ->
            val state = states[terms.limit]
            when {
                state == null -> giveUp(from, terms)
                sent.sentAtMs > state.createdAtMs -> adopt(nowMs, state, from, terms, validUntilMs)
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
        val pair = pairs[from] ?: return
        val sent = pair.sentNonce(renewed.nonce) ?: return
        val validUntilMs = validUntilMs(nowMs, sent, renewed.durationMs)
        heldLoans(nowMs, pair)
            .filter { (_, loan) -> loan.changeSequence <= sent.sequence }
            .forEach { (state, loan) ->
                loan.validUntilMs = max(loan.validUntilMs, validUntilMs)
                state.borrowed.refresh()
            }
    }

    /** Gives back what a lender wants back, as far as it is not in use. */
    fun onRecall(
        nowMs: Long,
        from: HostId,
        recall: LedgerMessage.LoanRecall,
    ) {
        recall.recalls.forEach { recalled ->
            val state = states[recalled.limit] ?: return@forEach
            val loan = state.borrowed[from] ?: return@forEach
            if (loan.version > recalled.version) return@forEach
            loan.recalledTo = recalled.units
            giveBack(nowMs, state, loan, recalled.units)
        }
    }

    /** Compares need and units of [state]; asks its homes for loans, or gives loans back. */
    fun review(
        nowMs: Long,
        state: LimitState,
    ) {
        state.settle(nowMs, fleet.standing.validUntilMs)
        val need = if (state.isActive && !isLeaving) state.meter.neededUnits(nowMs) else 0
        val asked = if (need > state.ownUnits) need else 0
        when {
            isNewNeed(state, asked) -> ask(nowMs, state, asked, state.homes)
            isRepeatDue(nowMs, state, asked) -> repeat(nowMs, state, asked)
        }
        state.borrowed.all.filter { it.units > 0 }.forEach { loan ->
            val keep = if (asked == 0L) 0 else loan.recalledTo ?: loan.units
            giveBack(nowMs, state, loan, keep)
        }
        state.borrowed.forget(nowMs, settings.loanMs)
    }

    /** Renews the loans of all lenders whose turn it is. */
    fun renew(nowMs: Long) {
        val intervalMs = renewIntervalMs()
        pairs.values.filter { nowMs - it.renewedAtMs >= intervalMs }.forEach { pair ->
            val held = heldLoans(nowMs, pair)
            if (held.isEmpty() && pair.askedAtMs <= pair.renewedAtMs) return@forEach
            val digest = LoanDigest()
            held.forEach { (state, loan) -> digest.add(state.id, loan.version, loan.units) }
            pair.renewedAtMs = nowMs
            renewals += LedgerSend(pair.host, LedgerMessage.LoanRenewal(pair.incarnation, nextNonce(nowMs, pair), digest.value))
        }
    }

    /** Returns the messages that are due. */
    fun drain(nowMs: Long): List<LedgerSend> {
        val sends =
            returns.mapNotNull { (host, returns) ->
                fleet.incarnationOf(host)?.let { LedgerSend(host, LedgerMessage.LoanReturn(it, returns.toList())) }
            } +
                needs.mapNotNull { (host, needs) -> requestMessage(nowMs, host, needs.toList()) } +
                renewals
        returns.clear()
        needs.clear()
        renewals.clear()
        return sends
    }

    private fun renewIntervalMs(): Long {
        val lenders = pairs.values.count { it.limits.isNotEmpty() }
        val stretchedMs = settings.renewIntervalMs * lenders / settings.promptLenders
        return stretchedMs.coerceIn(settings.renewIntervalMs, max(settings.renewIntervalMs, settings.maxRenewIntervalMs))
    }

    private fun requestMessage(
        nowMs: Long,
        host: HostId,
        needs: List<LoanNeed>,
    ): LedgerSend? {
        val pair = pairOf(host) ?: return null
        pair.askedAtMs = nowMs
        return LedgerSend(host, LedgerMessage.LoanRequest(pair.incarnation, nextNonce(nowMs, pair), needs))
    }

    private fun isNewNeed(
        state: LimitState,
        asked: Long,
    ): Boolean {
        if (asked == 0L || state.askedUnits == 0L) return asked != state.askedUnits
        return asked > state.askedUnits * RISE || asked < state.askedUnits * FALL
    }

    private fun isRepeatDue(
        nowMs: Long,
        state: LimitState,
        asked: Long,
    ): Boolean = state.usableUnits < asked && nowMs - state.askedAtMs >= settings.repeatIntervalMs

    private fun ask(
        nowMs: Long,
        state: LimitState,
        units: Long,
        homes: List<HostId>,
    ) {
        if (units != state.askedUnits) state.repeats = 0
        state.askedUnits = units
        state.askedAtMs = nowMs
        homes.filter { it != fleet.self }.forEach { home ->
            needs.getOrPut(home) { mutableListOf() } += LoanNeed(state.id, units)
        }
    }

    /** Asks again, in case a request was lost; lenders that have given something know of it after a few times. */
    private fun repeat(
        nowMs: Long,
        state: LimitState,
        asked: Long,
    ) {
        state.repeats++
        val isKnown = state.repeats > REPEATS_TO_ALL
        ask(
            nowMs,
            state,
            state.askedUnits.coerceAtLeast(asked),
            state.homes.filter { !isKnown || state.borrowed[it]?.isLive(nowMs) != true },
        )
    }

    private fun adopt(
        nowMs: Long,
        state: LimitState,
        from: HostId,
        terms: LoanTerms,
        validUntilMs: Long,
    ) {
        if (nowMs >= validUntilMs) return
        state.settle(nowMs, fleet.standing.validUntilMs)
        val loan = state.borrowed.getOrCreate(from)
        if (terms.version <= loan.version && safeguards.checkVersions) return
        if (terms.units != loan.units) onChange(ShareChange(ShareChangeKind.BORROWED, state.id, from, terms.units))
        loan.version = terms.version
        loan.units = terms.units
        loan.validUntilMs = validUntilMs
        loan.changeSequence = ++sequence
        loan.recalledTo = null
        state.borrowed.refresh()
        state.resize(nowMs)
        state.meter.deposit(nowMs, terms.microTokens / MICRO)
        pairs.getValue(from).limits += state.id
    }

    private fun giveBack(
        nowMs: Long,
        state: LimitState,
        loan: BorrowedLoan,
        keptUnits: Long,
    ) {
        state.settle(nowMs, fleet.standing.validUntilMs)
        val given = min(loan.units - keptUnits, state.meter.movableUnits())
        if (given <= 0) return
        val tokens = state.meter.withdraw(nowMs, given)
        loan.units -= given
        state.borrowed.refresh()
        state.resize(nowMs)
        onChange(ShareChange(ShareChangeKind.RETURNED, state.id, loan.lender, loan.units))
        returns.getOrPut(loan.lender) { mutableListOf() } += ReturnedLoan(state.id, loan.version, loan.units, microTokens(tokens))
    }

    private fun giveUp(
        from: HostId,
        terms: LoanTerms,
    ) {
        returns.getOrPut(from) { mutableListOf() } += ReturnedLoan(terms.limit, terms.version, 0, terms.microTokens)
    }

    private fun heldLoans(
        nowMs: Long,
        pair: LenderPair,
    ): List<Pair<LimitState, BorrowedLoan>> {
        pair.limits.removeIf { states[it]?.borrowed?.get(pair.host) == null }
        val held = pair.limits.map { states.getValue(it) }
        held.forEach { it.settle(nowMs, fleet.standing.validUntilMs) }
        return held.map { it to checkNotNull(it.borrowed[pair.host]) }.filter { (_, loan) -> loan.isLive(nowMs) }
    }

    private fun pairOf(host: HostId): LenderPair? {
        val incarnation = fleet.incarnationOf(host) ?: return null
        return pairs.getOrPut(host) { LenderPair(host, incarnation) }
    }

    private fun nextNonce(
        nowMs: Long,
        pair: LenderPair,
    ): Long {
        lastNonce++
        pair.note(SentNonce(lastNonce, nowMs, sequence), settings.loanMs)
        return lastNonce
    }

    /** The time of a loan counts from when its borrower asked, whenever the answer comes. */
    private fun validUntilMs(
        nowMs: Long,
        sent: SentNonce,
        durationMs: Long,
    ): Long = (if (safeguards.countLoanFromRequest) sent.sentAtMs else nowMs) + min(durationMs, settings.loanMs)

    private companion object {
        /** Change of need, relative to what was asked for, that the lenders are told of. */
        const val RISE = 1.1
        const val FALL = 0.7

        /** Repetitions of a request that go to all homes; later ones go only to homes that have given nothing. */
        const val REPEATS_TO_ALL = 2
    }
}
