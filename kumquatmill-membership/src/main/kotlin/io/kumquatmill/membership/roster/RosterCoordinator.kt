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
import io.kumquatmill.membership.store.DecodedEntry
import io.kumquatmill.membership.store.StoreWatcher
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/**
 * Proposes roster changes and settles prepared ones.
 *
 * Each host waits in proportion to its [ProposerRank], so that usually only one of them acts.
 */
internal class RosterCoordinator(
    private val self: HostId,
    private val settings: MembershipSettings,
    private val watcher: StoreWatcher,
    private val currentRoster: CurrentRoster,
    private val hostList: HostListView,
    private val standingTracker: StandingTracker,
) {
    private val view = watcher.view
    private val evictionRule = EvictionRule(settings, watcher, currentRoster, hostList)
    private val proposerRank = ProposerRank(self, view, currentRoster)
    private var changeNeededSinceMs: Long? = null
    private var turnSinceMs: Long? = null
    private var nextCallAtMs = Long.MIN_VALUE
    private var nextCheckAtMs = Long.MIN_VALUE
    private var convergedRevision = -1L
    private var convergedEpoch = -1L
    private var settlement: Settlement? = null

    /** Whether this host is about to propose a change and needs recent votes to know which witnesses are reachable. */
    val needsWitnessVotes: Boolean
        get() = turnSinceMs != null

    /** Members without a record; this host polls them before it proposes their eviction, because a member that replies is alive. */
    val suspects: Set<HostId>
        get() =
            if (turnSinceMs == null) emptySet() else currentRoster.members.map { it.host }.filterTo(mutableSetOf()) { it !in view.records }

    /** Records that [host] has sent a message. */
    fun onMessageReceived(
        nowMs: Long,
        host: HostId,
    ) = evictionRule.onMessageReceived(nowMs, host)

    /** Proposes the first roster or a change, or settles a prepared change, whichever is due. */
    fun onTick(
        nowMs: Long,
        incarnation: Incarnation,
        out: OutputBuilder,
    ) {
        if (!watcher.isUp) resetProposal()
        if (!watcher.isUp || nowMs < nextCallAtMs) return
        val document = currentRoster.document
        when {
            document == null -> createFirstRoster(nowMs, out)
            document.phase == RosterPhase.PREPARED -> settleWhenConfirmed(nowMs, incarnation, document, out)
            else -> changeIfNeeded(nowMs, incarnation, document, out)
        }
    }

    /** Records that [witness] no longer votes for epochs below [epoch]. */
    fun onAck(
        witness: Witness,
        epoch: Long,
    ) {
        settlement?.takeIf { it.epoch == epoch }?.onAck(witness)
    }

    /** Handles the result of a roster write or read; returns the roster that the store is now known to have, or null if unknown. */
    fun onReply(
        nowMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
        out: OutputBuilder,
    ): DecodedEntry<RosterDocument>? {
        nextCallAtMs = nowMs
        return result.fold(
            { error -> handleError(nowMs, error, call, out) },
            { reply -> handleReply(call, reply) },
        )
    }

    private fun handleError(
        nowMs: Long,
        error: StoreError,
        call: StoreCall,
        out: OutputBuilder,
    ): DecodedEntry<RosterDocument>? {
        nextCallAtMs = nowMs + settings.proposerRankDelayMs
        if (error is StoreError.Conflict) return error.current?.toRoster()
        if (error is StoreError.Unknown && call is StoreCall.CompareAndSwap) sendCall(nowMs, StoreCall.Read(MembershipKeys.ROSTER), out)
        return null
    }

    private fun handleReply(
        call: StoreCall,
        reply: StoreReply,
    ): DecodedEntry<RosterDocument>? =
        when {
            reply is StoreReply.Entry -> reply.entry?.toRoster()
            reply is StoreReply.Written && call is StoreCall.CompareAndSwap ->
                decodeRoster(call.value)?.let { DecodedEntry(it, reply.revision) }
            else -> null
        }

    private fun StoreEntry.toRoster(): DecodedEntry<RosterDocument>? = decodeRoster(value)?.let { DecodedEntry(it, revision) }

    private fun createFirstRoster(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val members = plannedMembers(emptyList(), view.records) { true }
        if (view.rosterRevision != StoreCall.NO_REVISION || members.isEmpty()) return
        if (isProposerTurn(nowMs)) writeRoster(nowMs, firstRoster(members, settings.maxWitnessCount), out)
    }

    private fun changeIfNeeded(
        nowMs: Long,
        incarnation: Incarnation,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        settlement = null
        if (nowMs < nextCheckAtMs || isKnownConverged(document)) return
        nextCheckAtMs = nowMs + CHECK_INTERVAL_MS
        val withoutExpired = plannedMembers(document.members, view.records) { evictionRule.hasLeaseExpired(nowMs, it) }
        if (withoutExpired == document.members && !isRosterMissing()) {
            resetProposal()
            recordConverged(document)
            return
        }
        if (!isProposerTurn(nowMs)) return
        if (canReachWitnessMajority(nowMs, incarnation, document)) {
            if (hasWaitedForSuspects(nowMs)) propose(nowMs, document, out)
        } else {
            checkWitnessTimeout(nowMs)
        }
    }

    /** Returns whether nothing has changed since the last check found the roster up to date and a record for every member. */
    private fun isKnownConverged(document: RosterDocument): Boolean = convergedRevision == view.revision && convergedEpoch == document.epoch

    private fun recordConverged(document: RosterDocument) {
        if (!document.members.all { it.host in view.records }) return
        convergedRevision = view.revision
        convergedEpoch = document.epoch
    }

    private fun propose(
        nowMs: Long,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        val planned = plannedMembers(document.members, view.records) { evictionRule.isEvictable(nowMs, it) }
        val isDue = planned.isNotEmpty() && (planned != document.members || isRosterMissing())
        if (!isDue) return
        resetProposal()
        writeRoster(nowMs, document.preparedChangeTo(planned, self, settings.maxWitnessCount), out)
    }

    private fun hasWaitedForSuspects(nowMs: Long): Boolean {
        val sinceMs = turnSinceMs ?: return false
        return suspects.isEmpty() || nowMs - sinceMs >= settings.suspectReplyTimeoutMs
    }

    /** Restarts the grace period when the witnesses are unreachable: partitioned hosts need time to renew their records. */
    private fun checkWitnessTimeout(nowMs: Long) {
        val sinceMs = turnSinceMs ?: return
        if (nowMs - sinceMs >= settings.witnessTimeoutMs) evictionRule.onWitnessesUnreachable(nowMs)
    }

    private fun settleWhenConfirmed(
        nowMs: Long,
        incarnation: Incarnation,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        resetProposal()
        val progress = settlementOf(nowMs, document)
        if (nowMs - progress.startedAtMs < settleDelayMs(document)) return
        val hasStoppedVoting = { witness: Witness -> hasStoppedVoting(nowMs, incarnation, witness) }
        progress.updateConfirmation(nowMs, hasStoppedVoting)
        progress
            .witnessesToNotify(nowMs, settings.noticeIntervalMs, hasStoppedVoting)
            .forEach { out.send(it.host, MembershipMessage.RosterNotice(document.epoch)) }
        val confirmedAtMs = progress.confirmedAtMs ?: return
        if (nowMs - confirmedAtMs >= settings.settleWaitMs) writeRoster(nowMs, document.settled(), out)
    }

    private fun settlementOf(
        nowMs: Long,
        document: RosterDocument,
    ): Settlement {
        val current = settlement
        if (current != null && current.epoch == document.epoch) return current
        return Settlement(document.epoch, nowMs, document.previousWitnesses).also { settlement = it }
    }

    private fun settleDelayMs(document: RosterDocument): Long =
        if (document.proposer == self) {
            0
        } else {
            settings.takeoverDelayMs + proposerRank.delayMs(settings.proposerRankDelayMs)
        }

    /** Returns whether [witness] cannot vote for the previous epoch: it is this host, is gone, or has a newer incarnation. */
    private fun hasStoppedVoting(
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

    /** Returns whether a change could be settled, so that one that could not is not proposed. */
    private fun canReachWitnessMajority(
        nowMs: Long,
        incarnation: Incarnation,
        document: RosterDocument,
    ): Boolean {
        val voters = standingTracker.votersSince(nowMs - settings.witnessTimeoutMs)
        val count = document.witnesses.count { it in voters || hasStoppedVoting(nowMs, incarnation, it) }
        return count >= majorityOf(document.witnesses.size)
    }

    private fun isRosterMissing(): Boolean {
        val stored = currentRoster.entry ?: return false
        return view.rosterRevision == StoreCall.NO_REVISION && view.revision >= stored.revision
    }

    private fun isProposerTurn(nowMs: Long): Boolean {
        val sinceMs = changeNeededSinceMs ?: nowMs.also { changeNeededSinceMs = it }
        val isProposerTurn = nowMs - sinceMs >= settings.rosterChangeDelayMs + proposerRank.delayMs(settings.proposerRankDelayMs)
        if (isProposerTurn) turnSinceMs = turnSinceMs ?: nowMs
        return isProposerTurn
    }

    private fun resetProposal() {
        changeNeededSinceMs = null
        turnSinceMs = null
    }

    private fun writeRoster(
        nowMs: Long,
        document: RosterDocument,
        out: OutputBuilder,
    ) {
        val expected = if (isRosterMissing()) StoreCall.NO_REVISION else currentRoster.entry?.revision ?: StoreCall.NO_REVISION
        sendCall(nowMs, StoreCall.CompareAndSwap(MembershipKeys.ROSTER, expected, encodeRoster(document)), out)
    }

    private fun sendCall(
        nowMs: Long,
        call: StoreCall,
        out: OutputBuilder,
    ) {
        nextCallAtMs = nowMs + settings.storeCallTimeoutMs
        out.addStoreCall(call)
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 200L
    }
}
