package io.kumquatmill.membership.roster

import arrow.core.Either
import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.fleet.HostListView
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.membership.record.MembershipKeys
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.record.decodeRoster
import io.kumquatmill.membership.record.encodeRoster
import io.kumquatmill.membership.record.majorityOf
import io.kumquatmill.membership.standing.StandingTracker
import io.kumquatmill.membership.store.StoreWatcher
import io.kumquatmill.membership.store.Stored
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/**
 * Proposes changes of the roster and settles prepared ones.
 *
 * Hosts take turns by rank: each waits a little longer than the one before it, so that usually one acts.
 */
internal class RosterCoordinator(
    private val self: HostId,
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val holder: RosterHolder,
    private val hostList: HostListView,
    private val tracker: StandingTracker,
) {
    private val view = watcher.view
    private val eviction = EvictionRule(settings, watcher, holder, hostList)
    private val rank = ProposerRank(self, view, holder)
    private var differenceSinceMs: Long? = null
    private var turnSinceMs: Long? = null
    private var callOpenUntilMs = Long.MIN_VALUE
    private var nextCheckMs = Long.MIN_VALUE
    private var quietRevision = -1L
    private var quietEpoch = -1L
    private var settlement: Settlement? = null

    /** Whether it is this host's turn to propose, so that it has to ask the witnesses whether they can be reached. */
    val needsWitnesses: Boolean
        get() = turnSinceMs != null

    /** Members without a record, which have to be asked whether they live before this host proposes to evict them. */
    val suspects: Set<HostId>
        get() = if (turnSinceMs == null) emptySet() else holder.members.map { it.host }.filterTo(mutableSetOf()) { it !in view.records }

    /** Notes that [host] has sent a message. */
    fun onHeard(
        nowMs: Long,
        host: HostId,
    ) = eviction.onHeard(nowMs, host)

    fun onTick(
        nowMs: Long,
        incarnation: Incarnation,
        out: OutputBuilder,
    ) {
        if (!watcher.isUp) forgetDifference()
        if (!watcher.isUp || nowMs < callOpenUntilMs) return
        val document = holder.document
        when {
            document == null -> found(nowMs, out)
            document.phase == RosterPhase.PREPARED -> finish(nowMs, incarnation, document, out)
            else -> change(nowMs, incarnation, document, out)
        }
    }

    /** Notes that [witness] does not vouch for epochs below [epoch] any more. */
    fun onAck(
        witness: Witness,
        epoch: Long,
    ) {
        settlement?.takeIf { it.epoch == epoch }?.onAck(witness)
    }

    /** Takes the result of a write or read of the roster; returns the roster that the store is now known to have. */
    fun onReply(
        nowMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
        out: OutputBuilder,
    ): Stored<RosterDocument>? {
        callOpenUntilMs = nowMs
        return result.fold(
            { error -> afterError(nowMs, error, call, out) },
            { reply -> afterReply(call, reply) },
        )
    }

    private fun afterError(
        nowMs: Long,
        error: StoreError,
        call: StoreCall,
        out: OutputBuilder,
    ): Stored<RosterDocument>? {
        callOpenUntilMs = nowMs + settings.rankDelayMs
        if (error is StoreError.Conflict) return error.current?.toRoster()
        if (error is StoreError.Unknown && call is StoreCall.CompareAndSwap) call(nowMs, StoreCall.Read(MembershipKeys.ROSTER), out)
        return null
    }

    private fun afterReply(
        call: StoreCall,
        reply: StoreReply,
    ): Stored<RosterDocument>? =
        when {
            reply is StoreReply.Entry -> reply.entry?.toRoster()
            reply is StoreReply.Written && call is StoreCall.CompareAndSwap -> decodeRoster(call.value)?.let { Stored(it, reply.revision) }
            else -> null
        }

    private fun StoreEntry.toRoster(): Stored<RosterDocument>? = decodeRoster(value)?.let { Stored(it, revision) }

    private fun found(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val members = plannedMembers(emptyList(), view.records) { true }
        if (view.rosterRevision != StoreCall.NO_REVISION || members.isEmpty()) return
        if (isTurn(nowMs)) write(nowMs, firstRoster(members, settings.witnessCount), out)
    }

    private fun change(
        nowMs: Long,
        incarnation: Incarnation,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        settlement = null
        if (nowMs < nextCheckMs || isQuiet(document)) return
        nextCheckMs = nowMs + CHECK_INTERVAL_MS
        val lapsed = plannedMembers(document.members, view.records) { eviction.isLapsed(nowMs, it) }
        if (lapsed == document.members && !isRosterMissing()) {
            forgetDifference()
            noteQuiet(document)
            return
        }
        if (!isTurn(nowMs)) return
        if (reachesWitnesses(nowMs, incarnation, document)) {
            if (haveSuspectsAnswered(nowMs)) propose(nowMs, document, out)
        } else {
            noteUnreached(nowMs)
        }
    }

    /** Returns whether nothing can have become due since the last check found all members with their records. */
    private fun isQuiet(document: RosterDocument): Boolean = quietRevision == view.revision && quietEpoch == document.epoch

    private fun noteQuiet(document: RosterDocument) {
        if (!document.members.all { it.host in view.records }) return
        quietRevision = view.revision
        quietEpoch = document.epoch
    }

    private fun propose(
        nowMs: Long,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        val planned = plannedMembers(document.members, view.records) { eviction.isEvictable(nowMs, it) }
        val isDue = planned.isNotEmpty() && (planned != document.members || isRosterMissing())
        if (!isDue) return
        forgetDifference()
        write(nowMs, document.prepared(planned, self, settings.witnessCount), out)
    }

    private fun haveSuspectsAnswered(nowMs: Long): Boolean {
        val sinceMs = turnSinceMs ?: return false
        return suspects.isEmpty() || nowMs - sinceMs >= settings.suspectAnswerMs
    }

    /** Hosts that were cut off need time to renew their records before they may be evicted. */
    private fun noteUnreached(nowMs: Long) {
        val sinceMs = turnSinceMs ?: return
        if (nowMs - sinceMs >= settings.witnessTimeoutMs) eviction.onWitnessesUnreached(nowMs)
    }

    private fun finish(
        nowMs: Long,
        incarnation: Incarnation,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        forgetDifference()
        val progress = settlementOf(nowMs, document)
        if (nowMs - progress.startedMs < finishDelayMs(document)) return
        val isSilenced = { witness: Witness -> isSilenced(nowMs, incarnation, witness) }
        progress.check(nowMs, isSilenced)
        progress
            .dueNotices(nowMs, settings.notifyIntervalMs, isSilenced)
            .forEach { out.send(it.host, MembershipMessage.RosterNotice(document.epoch)) }
        val confirmedMs = progress.confirmedMs ?: return
        if (nowMs - confirmedMs >= settings.settleWaitMs) write(nowMs, document.settled(), out)
    }

    private fun settlementOf(
        nowMs: Long,
        document: RosterDocument,
    ): Settlement {
        val current = settlement
        if (current != null && current.epoch == document.epoch) return current
        return Settlement(document.epoch, nowMs, document.previousWitnesses).also { settlement = it }
    }

    private fun finishDelayMs(document: RosterDocument): Long =
        if (document.proposer ==
            self
        ) {
            0
        } else {
            settings.finishDelayMs + rank.delayMs(settings.rankDelayMs)
        }

    /** Returns whether [witness] is known not to vouch for the epoch before: it is this host, gone, or has a newer incarnation. */
    private fun isSilenced(
        nowMs: Long,
        incarnation: Incarnation,
        witness: Witness,
    ): Boolean = isSelf(witness, incarnation) || isReplaced(witness) || hostList.isGone(nowMs, witness.host)

    private fun isSelf(
        witness: Witness,
        incarnation: Incarnation,
    ): Boolean = witness.host == self && witness.incarnation <= incarnation

    private fun isReplaced(witness: Witness): Boolean {
        val record = view.records[witness.host]?.value ?: return false
        return record.member.incarnation > witness.incarnation
    }

    /** Returns whether a change can be settled, so that one that can not is not begun. */
    private fun reachesWitnesses(
        nowMs: Long,
        incarnation: Incarnation,
        document: RosterDocument,
    ): Boolean {
        val vouched = tracker.vouchedSince(nowMs - settings.witnessTimeoutMs)
        val count = document.witnesses.count { it in vouched || isSilenced(nowMs, incarnation, it) }
        return count >= majorityOf(document.witnesses.size)
    }

    private fun isRosterMissing(): Boolean {
        val stored = holder.stored ?: return false
        return view.rosterRevision == StoreCall.NO_REVISION && view.revision >= stored.revision
    }

    private fun isTurn(nowMs: Long): Boolean {
        val sinceMs = differenceSinceMs ?: nowMs.also { differenceSinceMs = it }
        val isTurn = nowMs - sinceMs >= settings.changeDelayMs + rank.delayMs(settings.rankDelayMs)
        if (isTurn) turnSinceMs = turnSinceMs ?: nowMs
        return isTurn
    }

    private fun forgetDifference() {
        differenceSinceMs = null
        turnSinceMs = null
    }

    private fun write(
        nowMs: Long,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        val expected = if (isRosterMissing()) StoreCall.NO_REVISION else holder.stored?.revision ?: StoreCall.NO_REVISION
        call(nowMs, StoreCall.CompareAndSwap(MembershipKeys.ROSTER, expected, encodeRoster(document)), out)
    }

    private fun call(
        nowMs: Long,
        call: StoreCall,
        out: OutputBuilder,
    ) {
        callOpenUntilMs = nowMs + settings.storeCallTimeoutMs
        out.call(call)
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 200L
    }
}
