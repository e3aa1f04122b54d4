package io.kumquatmill.limits.ledger

import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation

/**
 * Enforces one host's share of limits that apply to all hosts together.
 *
 * Every host of the fleet has a ledger. The ledger takes tokens only from base units, which the roster assigns to the host, and
 * from units borrowed from other hosts. It does so only while the host has valid [Standing], the time-limited permission to use its
 * units. All hosts together therefore stay within each limit even if messages are lost or delayed and hosts pause or restart.
 * The caller passes in standing, limits, messages and ticks, and sends the messages that the ledger returns.
 *
 * This class is not thread-safe.
 */
class ShareLedger internal constructor(
    self: HostId,
    private val settings: LedgerSettings,
    specs: Collection<LimitSpec>,
    nowMs: Long,
    onLoanEvent: (LoanEvent) -> Unit,
    private val safeguards: Safeguards,
) {
    private val fleet = FleetMembership(self, settings, safeguards)
    private val states = sortedMapOf<LimitId, LimitState>()
    private val lending = LendingProtocol(fleet, settings, states, onLoanEvent)
    private val borrowing = BorrowingProtocol(fleet, settings, states, safeguards, onLoanEvent)
    private val dirtyLimits = sortedSetOf<LimitId>()
    private val mutableCounters = MutableLedgerCounters()
    private var rebalancedAtMs = nowMs

    /** Counters of this ledger since its creation. */
    val counters: LedgerCounters
        get() = mutableCounters.snapshot()

    /** Creates the ledger of host [self], initially without standing. [onLoanEvent] is called on every change of a loan. */
    constructor(
        self: HostId,
        settings: LedgerSettings = LedgerSettings(),
        specs: Collection<LimitSpec> = emptyList(),
        nowMs: Long = BEFORE_ANY_CLOCK_MS,
        onLoanEvent: (LoanEvent) -> Unit = {},
    ) : this(self, settings, specs, nowMs, onLoanEvent, Safeguards())

    init {
        onLimits(nowMs, specs)
    }

    /** Replaces the limits by [specs]. Changed limits are updated in place, missing ones end and new ones start without tokens. */
    fun onLimits(
        nowMs: Long,
        specs: Collection<LimitSpec>,
    ) {
        val byId = specs.associateBy { it.id }
        states.values.filter { it.id !in byId }.forEach { deactivate(nowMs, it) }
        byId.values.forEach { applySpec(nowMs, it) }
    }

    /** Applies a new [standing] of this host. */
    fun onStanding(
        nowMs: Long,
        standing: Standing,
    ) {
        if (!fleet.isSameRoster(standing) || !fleet.standing.isValid(nowMs)) {
            states.values.forEach { advanceTo(nowMs, it) }
        }
        val transition = fleet.updateStanding(nowMs, standing)
        if (transition == RosterTransition.SAME) return
        if (transition == RosterTransition.BREAK) borrowing.clear() else borrowing.onRoster(nowMs)
        states.values.forEach { state ->
            if (transition == RosterTransition.BREAK) state.reset(nowMs)
            updateBaseShare(nowMs, state)
        }
    }

    /** Advances to [nowMs]: applies due gains, compares demand with units and renews loans. Returns the messages to send. */
    fun onTick(nowMs: Long): List<OutgoingLedgerMessage> {
        if (nowMs - rebalancedAtMs >= settings.rebalanceIntervalMs) rebalanceAll(nowMs)
        rebalanceDirty(nowMs)
        if (fleet.hasStanding(nowMs)) borrowing.renew(nowMs)
        return takeMessages(nowMs)
    }

    /** Handles a [message] from the ledger of [from]. Returns the messages to send. */
    fun onMessage(
        nowMs: Long,
        from: HostId,
        fromIncarnation: Incarnation,
        message: LedgerMessage,
    ): List<OutgoingLedgerMessage> {
        mutableCounters.messagesReceived++
        val sender = HostIncarnation(from, fromIncarnation)
        if (!fleet.accepts(sender, message)) {
            mutableCounters.messagesIgnored++
            return emptyList()
        }
        val affected = receive(nowMs, sender, message)
        dirtyLimits += affected.map { it.id }
        rebalanceDirty(nowMs)
        return takeMessages(nowMs)
    }

    /**
     * Prepares for this host to leave the fleet: returns all loans and lends its base units to other hosts that need them. Returns
     * the messages to send.
     */
    fun prepareToLeave(nowMs: Long): List<OutgoingLedgerMessage> {
        lending.isLeaving = true
        borrowing.isLeaving = true
        dirtyLimits += states.keys
        rebalanceDirty(nowMs)
        return takeMessages(nowMs)
    }

    /** Takes [amount] tokens of [limit] if this host has that many. Both outcomes count as demand while it has standing. */
    fun tryTake(
        nowMs: Long,
        limit: LimitId,
        amount: Long = 1,
    ): TakeResult {
        val state = usableState(nowMs, limit) ?: return TakeResult.Denied(settings.defaultRetryAfterMs)
        if (state.limiter.tryTake(nowMs, amount)) {
            mutableCounters.takes++
            return TakeResult.Taken
        }
        mutableCounters.denials++
        dirtyLimits += limit
        val retryAfterMs = state.limiter.retryAfterMs(nowMs, amount) ?: settings.defaultRetryAfterMs
        return TakeResult.Denied(retryAfterMs.coerceIn(1, settings.maxRetryAfterMs))
    }

    /** Returns whether [tryTake] would succeed. The query does not count as demand. */
    fun isAvailable(
        nowMs: Long,
        limit: LimitId,
        amount: Long = 1,
    ): Boolean = usableState(nowMs, limit)?.limiter?.isAvailable(nowMs, amount) ?: false

    /**
     * Gives back [amount] tokens of [limit]: slots whose requests have ended, or tokens of a rate that were taken for an attempt
     * that is known to have reached no worker.
     */
    fun release(
        nowMs: Long,
        limit: LimitId,
        amount: Long = 1,
    ) {
        val state = states[limit] ?: return
        advanceTo(nowMs, state)
        state.limiter.release(nowMs, amount)
    }

    /** Deducts [amount] tokens of [limit] that have already been used, such as response bytes. A debt delays later takes. */
    fun charge(
        nowMs: Long,
        limit: LimitId,
        amount: Long,
    ) {
        val state = states[limit] ?: return
        advanceTo(nowMs, state)
        state.limiter.charge(nowMs, amount)
    }

    /** Returns the number of units of [limit] that this host may use at [nowMs]; 0 if it has no standing or no such limit. */
    fun units(
        nowMs: Long,
        limit: LimitId,
    ): Long = usableState(nowMs, limit)?.usableUnits ?: 0

    /** Returns the number of units of [limit] across all hosts, or 0 if there is no such limit. */
    fun totalUnits(limit: LimitId): Long = states[limit]?.spec?.totalUnits ?: 0

    /** Returns the units that this host holds, lends and borrows, for each active limit. */
    fun holdings(nowMs: Long): List<Holding> =
        states.values.filter { it.isActive }.map { state ->
            Holding(
                limit = state.id,
                units = units(nowMs, state.id),
                baseUnits = state.baseShare.units,
                lentUnits = state.lent.committedUnits,
                borrowedUnits = state.borrowed.totalUnits,
                totalUnits = state.spec.totalUnits,
                neededUnits = state.limiter.neededUnits(nowMs),
            )
        }

    private fun receive(
        nowMs: Long,
        from: HostIncarnation,
        message: LedgerMessage,
    ): List<LimitState> {
        when (message) {
            is LedgerMessage.LoanRequest -> return lending.onRequest(nowMs, from, message)
            is LedgerMessage.LoanReturn -> return lending.onReturn(nowMs, from, message)
            is LedgerMessage.LoanGrant -> return borrowing.onGrant(nowMs, from.host, message)
            is LedgerMessage.LoanRenewal -> lending.onRenewal(nowMs, from, message)
            is LedgerMessage.LoanRenewed -> borrowing.onRenewed(nowMs, from.host, message)
            is LedgerMessage.LoanRecall -> borrowing.onRecall(nowMs, from.host, message)
        }
        return emptyList()
    }

    private fun rebalanceAll(nowMs: Long) {
        rebalancedAtMs = nowMs
        states.values.removeIf { it.isRemovable() }
        states.values.forEach { state ->
            state.baseShare.applyDueGains(nowMs)
            advanceTo(nowMs, state)
            state.lent.expire(nowMs, settings.needRetentionMs)
            state.applyUnits(nowMs)
            if (!state.isUnused(nowMs)) dirtyLimits += state.id
        }
    }

    private fun rebalanceDirty(nowMs: Long) {
        if (dirtyLimits.isEmpty()) return
        dirtyLimits.mapNotNull { states[it] }.forEach { state ->
            lending.rebalance(nowMs, state)
            if (fleet.hasStanding(nowMs)) borrowing.rebalance(nowMs, state)
        }
        dirtyLimits.clear()
    }

    private fun takeMessages(nowMs: Long): List<OutgoingLedgerMessage> {
        val messages = lending.takeMessages(nowMs) + borrowing.takeMessages(nowMs)
        mutableCounters.recordSent(messages)
        return messages
    }

    private fun applySpec(
        nowMs: Long,
        spec: LimitSpec,
    ) {
        val existing = states[spec.id]
        if (existing != null && existing.isActive && existing.spec == spec) return
        val state = existing ?: LimitState(spec, settings, nowMs, safeguards).also { states[spec.id] = it }
        advanceTo(nowMs, state)
        if (state.spec != spec) state.limiter.updateSpec(nowMs, spec)
        state.isActive = true
        updateBaseShare(nowMs, state)
    }

    private fun deactivate(
        nowMs: Long,
        state: LimitState,
    ) {
        advanceTo(nowMs, state)
        state.isActive = false
        state.limiter.drain(nowMs)
        state.baseShare.clear()
        state.applyUnits(nowMs)
    }

    private fun updateBaseShare(
        nowMs: Long,
        state: LimitState,
    ) {
        state.homes = fleet.homes(state.spec)
        state.requestedUnits = 0
        val gainsEffectiveAtMs = fleet.gainsEffectiveAtMs(state.limiter.maxHoldMs)
        state.baseShare.setTarget(nowMs, if (state.isActive) fleet.targetBaseUnits(state.spec) else 0, gainsEffectiveAtMs)
        state.applyUnits(nowMs)
    }

    private fun usableState(
        nowMs: Long,
        limit: LimitId,
    ): LimitState? {
        val state = states[limit] ?: return null
        advanceTo(nowMs, state)
        return state.takeIf { it.isActive && fleet.hasStanding(nowMs) }
    }

    private fun advanceTo(
        nowMs: Long,
        state: LimitState,
    ) = state.advanceTo(nowMs, fleet.standing.validUntilMs)

    private companion object {
        /** Time before any reading of a monotonic clock; half of the minimum, so that subtracting it does not overflow. */
        const val BEFORE_ANY_CLOCK_MS = Long.MIN_VALUE / 2
    }
}
