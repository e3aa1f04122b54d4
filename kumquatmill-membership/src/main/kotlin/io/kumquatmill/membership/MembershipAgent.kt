package io.kumquatmill.membership

import arrow.core.Either
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.Standing
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.fleet.HostListView
import io.kumquatmill.membership.fleet.KnownHost
import io.kumquatmill.membership.fleet.KnownHosts
import io.kumquatmill.membership.freshness.ConfigurationFreshness
import io.kumquatmill.membership.lease.LeaseKeeper
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.membership.message.MembershipMessage.RosterAck
import io.kumquatmill.membership.message.MembershipMessage.RosterNotice
import io.kumquatmill.membership.message.MembershipMessage.RosterPull
import io.kumquatmill.membership.message.MembershipMessage.RosterPush
import io.kumquatmill.membership.message.MembershipMessage.StandingReply
import io.kumquatmill.membership.message.MembershipMessage.StandingRequest
import io.kumquatmill.membership.record.HostRecord
import io.kumquatmill.membership.record.HostRecordState
import io.kumquatmill.membership.record.MembershipKeys
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.record.Witness
import io.kumquatmill.membership.roster.RosterCoordinator
import io.kumquatmill.membership.roster.RosterExchange
import io.kumquatmill.membership.roster.RosterHolder
import io.kumquatmill.membership.standing.PeerInquiry
import io.kumquatmill.membership.standing.StandingTracker
import io.kumquatmill.membership.standing.WitnessMemory
import io.kumquatmill.membership.store.StoreWatcher
import io.kumquatmill.membership.store.Stored
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/**
 * Membership of one entry host: its lease, the roster, its standing and its word of the configuration.
 *
 * Feed it ticks, replies of the store and messages of peers, and carry out the [MembershipOutput] that each returns.
 * [configurationRevision] returns the revision of the lists in force. It is not safe for use by several threads.
 */
class MembershipAgent internal constructor(
    private val description: HostDescription,
    private val settings: MembershipSettings,
    random: Random,
    private val memory: WitnessMemory,
    private val configurationRevision: () -> Long,
) {
    private val holder = RosterHolder()
    private val tracker = StandingTracker(description.host, memory)
    private val hostList = HostListView(description.host, settings.hostListLagMs)
    private val watcher = StoreWatcher(settings, random, ::fleetSize)
    private val leases = LeaseKeeper(description.host, settings, watcher, random, ::fleetSize)
    private val coordinator = RosterCoordinator(description.host, settings, watcher, holder, hostList, tracker)
    private val exchange = RosterExchange(settings, holder, memory)
    private val inquiry = PeerInquiry(description, settings, holder, random)
    private val freshness =
        ConfigurationFreshness(
            settings = settings,
            isInStoreRegion = description.region == settings.storeRegion,
            revisionInForce = configurationRevision,
            hasStanding = { nowMs -> standing(nowMs).isValid(nowMs) },
            isStoreRegionGone = ::isStoreRegionGone,
        )
    private val hosts = KnownHosts(settings, watcher, hostList)
    private var incarnation = NOT_JOINED
    private var startedMs = NOT_STARTED
    private var isLeaving = false
    private var drainedMs: Long? = null
    private var hasLeft = false

    constructor(
        description: HostDescription,
        settings: MembershipSettings,
        random: Random,
        configurationRevision: () -> Long,
    ) : this(description, settings, random, WitnessMemory(), configurationRevision)

    /** This host under its current incarnation, which is [NOT_JOINED] until the store has answered. */
    val self: Member
        get() = description.member(incarnation)

    /** Names of the hosts, workers and upstreams that operators want drained, as last seen in the store. */
    val drainRequests: Set<String>
        get() = watcher.view.drainRequests

    /** Where this host is on its way into and out of the fleet. */
    val lifecycle: MembershipLifecycle
        get() =
            when {
                hasLeft -> MembershipLifecycle.LEFT
                drainedMs != null -> MembershipLifecycle.DEPARTING
                isLeaving -> MembershipLifecycle.LEAVING
                isMember() -> MembershipLifecycle.MEMBER
                incarnation == NOT_JOINED -> MembershipLifecycle.STARTING
                else -> MembershipLifecycle.JOINING
            }

    /** Returns the right of this host to spend its shares. */
    fun standing(nowMs: Long): Standing {
        val evidenceMs = if (isMember() && drainedMs == null) tracker.evidenceMs(nowMs, incarnation) else null
        return Standing(holder.view, evidenceMs?.plus(settings.standingMs) ?: Long.MIN_VALUE)
    }

    /** Returns whether routes that need a key may be served: no withdrawal can have been missed for longer than the bound. */
    fun configurationIsFresh(nowMs: Long): Boolean = freshness.isFresh(nowMs)

    /** Returns all entry hosts that are known, for steering. */
    fun knownHosts(nowMs: Long): List<KnownHost> = hosts.list(nowMs, holder.members)

    /** Does what is due; call it at least every 50 ms. */
    fun onTick(nowMs: Long): MembershipOutput =
        output { out ->
            if (hasLeft) return@output
            if (startedMs == NOT_STARTED) startedMs = nowMs
            watcher.onTick(nowMs, out)
            if (incarnation != NOT_JOINED) keepRecord(nowMs, out)
            if (drainedMs == null && incarnation != NOT_JOINED) coordinator.onTick(nowMs, incarnation, out)
            inquire(nowMs, out)
        }

    /** Takes the [result] of a [call] that an earlier output asked for at [sentAtMs]. */
    fun onStoreReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
    ): MembershipOutput =
        output { out ->
            when {
                call is StoreCall.Watch || call is StoreCall.ReadPrefix -> onWatched(nowMs, sentAtMs, call, result, out)
                call.isOfRoster() -> onRosterReply(nowMs, sentAtMs, call, result, out)
                else -> leases.onReply(nowMs, call, result)
            }
        }

    /** Takes a message of the same part of the host [from]. */
    fun onMessage(
        nowMs: Long,
        from: HostId,
        fromIncarnation: Incarnation,
        message: MembershipMessage,
    ): MembershipOutput =
        output { out ->
            coordinator.onHeard(nowMs, from)
            when (message) {
                is StandingRequest -> answer(nowMs, from, message, out)
                is StandingReply -> onStandingReply(nowMs, from, fromIncarnation, message, out)
                is RosterNotice -> exchange.onNotice(from, message, incarnation != NOT_JOINED, out)
                is RosterAck -> coordinator.onAck(Witness(from, fromIncarnation), message.epoch)
                is RosterPull -> exchange.onPull(from, message, out)
                is RosterPush -> takeRoster(Stored(message.document, message.revision), out)
            }
        }

    /** Takes the platform's lagging list of hosts. */
    fun onHostList(
        nowMs: Long,
        entries: List<HostListEntry>,
    ): MembershipOutput = output { hostList.update(nowMs, entries) }

    /** Marks this host as leaving, so that callers are sent elsewhere; it keeps its standing to end its requests. */
    fun leave(nowMs: Long): MembershipOutput {
        isLeaving = true
        return onTick(nowMs)
    }

    /** Says that this host has no requests any more; it may exit once [lifecycle] is [MembershipLifecycle.LEFT]. */
    fun drained(nowMs: Long): MembershipOutput {
        isLeaving = true
        drainedMs = drainedMs ?: nowMs
        return onTick(nowMs)
    }

    private inline fun output(block: (OutputBuilder) -> Unit): MembershipOutput = OutputBuilder().also(block).build()

    private fun fleetSize(): Int = maxOf(holder.members.size, watcher.view.records.size)

    private fun isMember(): Boolean = holder.isMember(description.host, incarnation)

    private fun keepRecord(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val state = if (isLeaving) HostRecordState.LEAVING else HostRecordState.LIVE
        when {
            !watcher.isUp -> leases.renewThroughSilence(nowMs, out)
            drainedMs == null -> leases.onTick(nowMs, { lease -> HostRecord(self, state, lease) }, out)
            else -> leases.remove(nowMs, out)
        }
    }

    private fun inquire(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        noteDeparture(nowMs)
        val isSilent = isStoreSilent(nowMs)
        val needsWitnesses = coordinator.needsWitnesses || (isSilent && isMember())
        inquiry.onTick(nowMs, needsWitnesses, isSilent, coordinator.suspects, configurationRevision(), out)
    }

    private fun noteDeparture(nowMs: Long) {
        val sinceMs = drainedMs ?: return
        val isRemoved = watcher.isUp && leases.isRecordGone
        hasLeft = isRemoved || nowMs - sinceMs >= settings.departTimeoutMs
    }

    private fun isStoreSilent(nowMs: Long): Boolean {
        val evidenceMs = watcher.evidenceMs ?: return nowMs - startedMs > SILENCE_MARGIN_MS
        val usualAgeMs = settings.renewPeriodMs(fleetSize()) + settings.watchWaitMs(fleetSize()) + SILENCE_MARGIN_MS
        return !watcher.isUp || nowMs - evidenceMs > usualAgeMs
    }

    private fun onWatched(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
        out: OutputBuilder,
    ) {
        val changes = watcher.onReply(nowMs, sentAtMs, call, result) ?: return
        out.configurationChange = changes.lastOrNull { it.key == MembershipKeys.CONFIGURATION }
        noteUndecoded(changes, out)
        watcher.view.roster?.let { takeRoster(it, out) }
        watcher.view.roster?.let { tracker.onStoreEvidence(it.value.epoch, sentAtMs) }
        freshness.onStoreAnswer(sentAtMs)
        if (incarnation == NOT_JOINED) continueAsNewIncarnation(out)
    }

    private fun noteUndecoded(
        changes: List<StoreChange>,
        out: OutputBuilder,
    ) {
        val change = changes.lastOrNull { it.key == MembershipKeys.ROSTER && it.value != null } ?: return
        if (watcher.view.roster == null) out.event(MembershipEvent.DocumentIgnored(change.key, change.revision))
    }

    private fun onRosterReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
        out: OutputBuilder,
    ) {
        val stored = coordinator.onReply(nowMs, call, result, out) ?: return
        takeRoster(stored, out)
        tracker.onStoreEvidence(stored.value.epoch, sentAtMs)
    }

    private fun takeRoster(
        candidate: Stored<RosterDocument>,
        out: OutputBuilder,
    ) {
        val wasMember = isMember()
        if (!holder.offer(candidate)) return
        val document = candidate.value
        memory.hear(document.epoch)
        tracker.follow(document.epoch, document.witnesses)
        inquiry.askSoon()
        out.event(MembershipEvent.RosterTaken(document.epoch, document.phase, document.members.size))
        if (wasMember && !isMember()) continueAsNewIncarnation(out)
    }

    private fun continueAsNewIncarnation(out: OutputBuilder) {
        val used =
            listOfNotNull(
                incarnation.value,
                watcher.view.revision,
                holder.stored?.revision,
                holder.memberOf(description.host)?.incarnation?.value,
            )
        incarnation = Incarnation(used.max() + 1)
        out.event(MembershipEvent.IncarnationChanged(incarnation))
    }

    private fun answer(
        nowMs: Long,
        from: HostId,
        request: StandingRequest,
        out: OutputBuilder,
    ) {
        memory.hear(request.epoch)
        notePeerRevision(from, request.configurationRevision, out)
        val isVouched = incarnation != NOT_JOINED && memory.vouchesFor(request.epoch)
        val reply =
            StandingReply(
                nonce = request.nonce,
                vouchedEpoch = request.epoch.takeIf { isVouched },
                highestEpoch = memory.highestEpoch,
                roster = holder.version,
                configurationRevision = configurationRevision(),
                storeWord = freshness.wordToPass(nowMs),
                voteAgesMs = tracker.voteAgesToRelay(nowMs, request.epoch, settings.standingMs),
            )
        out.send(from, reply)
    }

    private fun onStandingReply(
        nowMs: Long,
        from: HostId,
        fromIncarnation: Incarnation,
        reply: StandingReply,
        out: OutputBuilder,
    ) {
        val sentAtMs = inquiry.sentAtMs(reply.nonce) ?: return
        memory.hear(reply.highestEpoch)
        reply.vouchedEpoch?.let { tracker.onVouched(from, fromIncarnation, it, sentAtMs) }
        tracker.onRelayedVotes(reply.roster.epoch, sentAtMs, reply.voteAgesMs)
        reply.storeWord?.let { freshness.onWord(sentAtMs, it) }
        notePeerRevision(from, reply.configurationRevision, out)
        if (isStoreSilent(nowMs)) exchange.onPeerVersion(nowMs, from, reply.roster, out)
    }

    private fun notePeerRevision(
        from: HostId,
        revision: Long,
        out: OutputBuilder,
    ) {
        freshness.onPeerRevision(revision)
        out.peerRevision(from, revision)
    }

    private fun isStoreRegionGone(nowMs: Long): Boolean {
        val members = holder.members.filter { it.region == settings.storeRegion }
        return members.isNotEmpty() && members.all { hostList.isGone(nowMs, it.host) }
    }

    private fun StoreCall.isOfRoster(): Boolean =
        (this is StoreCall.CompareAndSwap && key == MembershipKeys.ROSTER) || (this is StoreCall.Read && key == MembershipKeys.ROSTER)

    companion object {
        /** Incarnation of a host that has not reached the store yet. */
        val NOT_JOINED: Incarnation = Incarnation(0)

        private const val SILENCE_MARGIN_MS = 500L
        private const val NOT_STARTED = Long.MAX_VALUE
    }
}
