package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation

/**
 * One host's part of the limits over all hosts together.
 *
 * Every host of the fleet has a ledger. It takes tokens only out of units that are the host's own by the roster or borrowed
 * from other hosts, and only while the host has standing, so that all hosts together stay within each limit whatever is
 * lost, late, frozen or restarted. Feed it standing, limits, messages and ticks, and send the messages that it returns.
 *
 * It is not safe for use by several threads.
 */
class ShareLedger internal constructor(
    self: HostId,
    private val settings: LedgerSettings,
    specs: Collection<LimitSpec>,
    nowMs: Long,
    onChange: (ShareChange) -> Unit,
    private val safeguards: Safeguards,
) {
    private val fleet = Fleet(self, settings, safeguards)
    private val states = sortedMapOf<LimitId, LimitState>()
    private val lender = LenderBook(fleet, settings, states, onChange)
    private val borrower = BorrowerBook(fleet, settings, states, safeguards, onChange)
    private val dirty = sortedSetOf<LimitId>()
    private val tally = LedgerTally()
    private var reviewedAtMs = nowMs

    /** Counts of what this ledger has done. */
    val counters: LedgerCounters
        get() = tally.snapshot()

    /** Creates the ledger of host [self], without standing; [onChange] is told of each move of units. */
    constructor(
        self: HostId,
        settings: LedgerSettings = LedgerSettings(),
        specs: Collection<LimitSpec> = emptyList(),
        nowMs: Long = BEFORE_ANY_CLOCK_MS,
        onChange: (ShareChange) -> Unit = {},
    ) : this(self, settings, specs, nowMs, onChange, Safeguards())

    init {
        onLimits(nowMs, specs)
    }

    /** Adopts the limits [specs]: edited ones change in place, missing ones end, new ones start without tokens. */
    fun onLimits(
        nowMs: Long,
        specs: Collection<LimitSpec>,
    ) {
        val byId = specs.associateBy { it.id }
        states.values.filter { it.id !in byId }.forEach { deactivate(nowMs, it) }
        byId.values.forEach { putLimit(nowMs, it) }
    }

    /** Adopts a new [standing] of this host. */
    fun onStanding(
        nowMs: Long,
        standing: Standing,
    ) {
        if (!fleet.isSameRoster(standing) || !fleet.standing.isValid(nowMs)) {
            states.values.forEach { settle(nowMs, it) }
        }
        val step = fleet.adopt(nowMs, standing)
        if (step == RosterStep.SAME) return
        if (step == RosterStep.BREAK) borrower.clear() else borrower.onRoster(nowMs)
        states.values.forEach { state ->
            if (step == RosterStep.BREAK) state.reset(nowMs)
            placeAnchor(nowMs, state)
        }
    }

    /** Lets time pass: counts gains that are due, compares demand with units, renews loans; returns the messages to send. */
    fun onTick(nowMs: Long): List<LedgerSend> {
        if (nowMs - reviewedAtMs >= settings.reviewIntervalMs) reviewAll(nowMs)
        reviewDirty(nowMs)
        if (fleet.hasStanding(nowMs)) borrower.renew(nowMs)
        return drain(nowMs)
    }

    /** Takes in a [message] of the ledger of [from]; returns the messages to send. */
    fun onMessage(
        nowMs: Long,
        from: HostId,
        fromIncarnation: Incarnation,
        message: LedgerMessage,
    ): List<LedgerSend> {
        tally.messagesReceived++
        val sender = Borrower(from, fromIncarnation)
        if (!fleet.accepts(sender, message)) {
            tally.messagesIgnored++
            return emptyList()
        }
        val touched = receive(nowMs, sender, message)
        dirty += touched.map { it.id }
        reviewDirty(nowMs)
        return drain(nowMs)
    }

    /** Gives back and lends away all it has, because this host leaves; returns the messages to send. */
    fun handOver(nowMs: Long): List<LedgerSend> {
        lender.isLeaving = true
        borrower.isLeaving = true
        dirty += states.keys
        reviewDirty(nowMs)
        return drain(nowMs)
    }

    /** Takes [amount] tokens of [limit] if this host has them. */
    fun tryTake(
        nowMs: Long,
        limit: LimitId,
        amount: Long = 1,
    ): TakeResult {
        val state = usableState(nowMs, limit) ?: return TakeResult.Short(settings.defaultRetryAfterMs)
        if (state.meter.tryTake(nowMs, amount)) {
            tally.takes++
            return TakeResult.Taken
        }
        tally.shorts++
        dirty += limit
        val retryAfterMs = state.meter.retryAfterMs(nowMs, amount) ?: settings.defaultRetryAfterMs
        return TakeResult.Short(retryAfterMs.coerceIn(1, settings.maxRetryAfterMs))
    }

    /** Returns whether [tryTake] would succeed; asking does not count as demand. */
    fun isAvailable(
        nowMs: Long,
        limit: LimitId,
        amount: Long = 1,
    ): Boolean = usableState(nowMs, limit)?.meter?.isAvailable(nowMs, amount) ?: false

    /**
     * Gives [amount] tokens back: slots whose requests have ended, or tokens of a rate that were taken for an attempt that
     * provably reached no worker.
     */
    fun release(
        nowMs: Long,
        limit: LimitId,
        amount: Long = 1,
    ) {
        val state = states[limit] ?: return
        settle(nowMs, state)
        state.meter.release(nowMs, amount)
    }

    /** Counts [amount] tokens of [limit] that were used already, such as the bytes of an answer; a debt delays later takes. */
    fun charge(
        nowMs: Long,
        limit: LimitId,
        amount: Long,
    ) {
        val state = states[limit] ?: return
        settle(nowMs, state)
        state.meter.charge(nowMs, amount)
    }

    /** Returns the units of [limit] that this host may use at [nowMs]. */
    fun units(
        nowMs: Long,
        limit: LimitId,
    ): Long = usableState(nowMs, limit)?.usableUnits ?: 0

    /** Returns all units of [limit] over all hosts, or 0 if there is no such limit. */
    fun totalUnits(limit: LimitId): Long = states[limit]?.spec?.totalUnits ?: 0

    /** Returns what this host holds of each limit. */
    fun holdings(nowMs: Long): List<Holding> =
        states.values.filter { it.isActive }.map { state ->
            Holding(
                limit = state.id,
                units = units(nowMs, state.id),
                anchorUnits = state.anchor.units,
                lentUnits = state.lent.committedUnits,
                borrowedUnits = state.borrowed.totalUnits,
                totalUnits = state.spec.totalUnits,
                neededUnits = state.meter.neededUnits(nowMs),
            )
        }

    private fun receive(
        nowMs: Long,
        from: Borrower,
        message: LedgerMessage,
    ): List<LimitState> {
        when (message) {
            is LedgerMessage.LoanRequest -> return lender.onRequest(nowMs, from, message)
            is LedgerMessage.LoanReturn -> return lender.onReturn(nowMs, from, message)
            is LedgerMessage.LoanGrant -> return borrower.onGrant(nowMs, from.host, message)
            is LedgerMessage.LoanRenewal -> lender.onRenewal(nowMs, from, message)
            is LedgerMessage.LoanRenewed -> borrower.onRenewed(nowMs, from.host, message)
            is LedgerMessage.LoanRecall -> borrower.onRecall(nowMs, from.host, message)
        }
        return emptyList()
    }

    private fun reviewAll(nowMs: Long) {
        reviewedAtMs = nowMs
        states.values.removeIf { it.isForgettable() }
        states.values.forEach { state ->
            state.anchor.mature(nowMs)
            settle(nowMs, state)
            state.lent.expire(nowMs, settings.needRetentionMs)
            state.resize(nowMs)
            if (!state.isQuiet(nowMs)) dirty += state.id
        }
    }

    private fun reviewDirty(nowMs: Long) {
        if (dirty.isEmpty()) return
        dirty.mapNotNull { states[it] }.forEach { state ->
            lender.review(nowMs, state)
            if (fleet.hasStanding(nowMs)) borrower.review(nowMs, state)
        }
        dirty.clear()
    }

    private fun drain(nowMs: Long): List<LedgerSend> {
        val sends = lender.drain(nowMs) + borrower.drain(nowMs)
        tally.count(sends)
        return sends
    }

    private fun putLimit(
        nowMs: Long,
        spec: LimitSpec,
    ) {
        val known = states[spec.id]
        if (known != null && known.isActive && known.spec == spec) return
        val state = known ?: LimitState(spec, settings, nowMs, safeguards).also { states[spec.id] = it }
        settle(nowMs, state)
        if (state.spec != spec) state.meter.edit(nowMs, spec)
        state.isActive = true
        placeAnchor(nowMs, state)
    }

    private fun deactivate(
        nowMs: Long,
        state: LimitState,
    ) {
        settle(nowMs, state)
        state.isActive = false
        state.meter.drain(nowMs)
        state.anchor.clear()
        state.resize(nowMs)
    }

    private fun placeAnchor(
        nowMs: Long,
        state: LimitState,
    ) {
        state.homes = fleet.homes(state.spec)
        state.askedUnits = 0
        val gainAtMs = fleet.gainAtMs(state.meter.tailMs)
        state.anchor.moveTo(nowMs, if (state.isActive) fleet.anchorTarget(state.spec) else 0, gainAtMs)
        state.resize(nowMs)
    }

    private fun usableState(
        nowMs: Long,
        limit: LimitId,
    ): LimitState? {
        val state = states[limit] ?: return null
        settle(nowMs, state)
        return state.takeIf { it.isActive && fleet.hasStanding(nowMs) }
    }

    private fun settle(
        nowMs: Long,
        state: LimitState,
    ) = state.settle(nowMs, fleet.standing.validUntilMs)

    private companion object {
        /** Time that lies before any reading of a monotonic clock and can be subtracted from it. */
        const val BEFORE_ANY_CLOCK_MS = Long.MIN_VALUE / 2
    }
}
