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
import io.kumquatmill.membership.lease.HostLeaseManager
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
import io.kumquatmill.membership.roster.CurrentRoster
import io.kumquatmill.membership.roster.RosterCoordinator
import io.kumquatmill.membership.roster.RosterExchange
import io.kumquatmill.membership.standing.EpochTracker
import io.kumquatmill.membership.standing.PeerPoller
import io.kumquatmill.membership.standing.StandingTracker
import io.kumquatmill.membership.store.DecodedEntry
import io.kumquatmill.membership.store.StoreWatcher
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/**
 * Membership protocol of one entry host: its lease, the roster, its standing and the freshness of its configuration.
 *
 * The agent does no I/O: pass it ticks, store replies and peer messages, and carry out the [MembershipOutput] of each call.
 * Standing is the host's time-limited permission to use its shares of the limits; replies of the store or votes of a majority of the
 * witnesses keep it valid.
 * All times are milliseconds of the host's monotonic clock. The agent is not thread-safe.
 *
 * @param configurationRevision returns the revision of the active configuration, or 0 if there is none.
 */
class MembershipAgent internal constructor(
    private val description: HostDescription,
    private val settings: MembershipSettings,
    random: Random,
    private val epochTracker: EpochTracker,
    private val configurationRevision: () -> Long,
) {
    private val currentRoster = CurrentRoster()
    private val standingTracker = StandingTracker(description.host, epochTracker)
    private val hostList = HostListView(description.host, settings.hostListLagMs)
    private val watcher = StoreWatcher(settings, random, ::fleetSize)
    private val hostLease = HostLeaseManager(description.host, settings, watcher, random, ::fleetSize)
    private val coordinator = RosterCoordinator(description.host, settings, watcher, currentRoster, hostList, standingTracker)
    private val exchange = RosterExchange(settings, currentRoster, epochTracker)
    private val peerPoller = PeerPoller(description, settings, currentRoster, random)
    private val freshness =
        ConfigurationFreshness(
            settings = settings,
            isInStoreRegion = description.region == settings.storeRegion,
            activeRevision = configurationRevision,
            hasStanding = { nowMs -> standing(nowMs).isValid(nowMs) },
            isStoreRegionGone = ::isStoreRegionGone,
        )
    private val knownHosts = KnownHosts(settings, watcher, hostList)
    private var incarnation = NOT_JOINED
    private var startedAtMs = NOT_STARTED
    private var isLeaving = false
    private var drainedAtMs: Long? = null
    private var hasLeft = false

    constructor(
        description: HostDescription,
        settings: MembershipSettings,
        random: Random,
        configurationRevision: () -> Long,
    ) : this(description, settings, random, EpochTracker(), configurationRevision)

    /** This host with its current incarnation, which is [NOT_JOINED] until the store has replied for the first time. */
    val self: Member
        get() = description.member(incarnation)

    /** Names of the hosts, workers and upstreams that operators have requested to drain, as last read from the store. */
    val drainRequests: Set<String>
        get() = watcher.view.drainRequests

    /** Current lifecycle state of this host. */
    val lifecycle: MembershipLifecycle
        get() =
            when {
                hasLeft -> MembershipLifecycle.LEFT
                drainedAtMs != null -> MembershipLifecycle.DEPARTING
                isLeaving -> MembershipLifecycle.LEAVING
                isMember() -> MembershipLifecycle.MEMBER
                incarnation == NOT_JOINED -> MembershipLifecycle.STARTING
                else -> MembershipLifecycle.JOINING
            }

    /** Returns the standing of this host: its time-limited permission to use its shares of the limits. */
    fun standing(nowMs: Long): Standing {
        val lastConfirmedAtMs = if (isMember() && drainedAtMs == null) standingTracker.lastConfirmedAtMs(nowMs, incarnation) else null
        return Standing(currentRoster.view, lastConfirmedAtMs?.plus(settings.standingMs) ?: Long.MIN_VALUE)
    }

    /**
     * Returns whether routes that need a key may be served.
     *
     * Unless the policy is [IsolationPolicy.SERVE], no withdrawal of a key can then have been missed for longer than
     * [MembershipSettings.freshnessMs].
     */
    fun isConfigurationFresh(nowMs: Long): Boolean = freshness.isFresh(nowMs)

    /** Returns all known entry hosts, sorted by name, for steering. */
    fun knownHosts(nowMs: Long): List<KnownHost> = knownHosts.list(nowMs, currentRoster.members)

    /** Runs everything that is due; must be called at least every 50 ms. */
    fun onTick(nowMs: Long): MembershipOutput =
        output { out ->
            if (hasLeft) return@output
            if (startedAtMs == NOT_STARTED) startedAtMs = nowMs
            watcher.onTick(nowMs, out)
            if (incarnation != NOT_JOINED) maintainRecord(nowMs, out)
            if (drainedAtMs == null && incarnation != NOT_JOINED) coordinator.onTick(nowMs, incarnation, out)
            pollPeers(nowMs, out)
        }

    /** Handles the [result] of a [call] from an earlier output, which was sent to the store at [sentAtMs]. */
    fun onStoreReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
    ): MembershipOutput =
        output { out ->
            when {
                call is StoreCall.Watch || call is StoreCall.ReadPrefix -> onWatchReply(nowMs, sentAtMs, call, result, out)
                call.isRosterCall() -> onRosterReply(nowMs, sentAtMs, call, result, out)
                else -> hostLease.onReply(nowMs, call, result)
            }
        }

    /** Handles a message of the agent of host [from], which sent it under [fromIncarnation]. */
    fun onMessage(
        nowMs: Long,
        from: HostId,
        fromIncarnation: Incarnation,
        message: MembershipMessage,
    ): MembershipOutput =
        output { out ->
            coordinator.onMessageReceived(nowMs, from)
            when (message) {
                is StandingRequest -> onStandingRequest(nowMs, from, message, out)
                is StandingReply -> onStandingReply(nowMs, from, fromIncarnation, message, out)
                is RosterNotice -> exchange.onNotice(from, message, incarnation != NOT_JOINED, out)
                is RosterAck -> coordinator.onAck(Witness(from, fromIncarnation), message.epoch)
                is RosterPull -> exchange.onPull(from, message, out)
                is RosterPush -> adoptRoster(DecodedEntry(message.document, message.revision), out)
            }
        }

    /** Handles a new version of the platform's host list, which may lag behind. */
    fun onHostList(
        nowMs: Long,
        entries: List<HostListEntry>,
    ): MembershipOutput = output { hostList.update(nowMs, entries) }

    /** Marks this host as leaving, so that callers are sent elsewhere; it keeps its standing to complete its requests. */
    fun leave(nowMs: Long): MembershipOutput {
        isLeaving = true
        return onTick(nowMs)
    }

    /** Reports that this host has no requests left; it may exit once [lifecycle] is [MembershipLifecycle.LEFT]. */
    fun onDrained(nowMs: Long): MembershipOutput {
        isLeaving = true
        drainedAtMs = drainedAtMs ?: nowMs
        return onTick(nowMs)
    }

    private inline fun output(block: (OutputBuilder) -> Unit): MembershipOutput = OutputBuilder().also(block).build()

    private fun fleetSize(): Int = maxOf(currentRoster.members.size, watcher.view.records.size)

    private fun isMember(): Boolean = currentRoster.isMember(description.host, incarnation)

    private fun maintainRecord(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val state = if (isLeaving) HostRecordState.LEAVING else HostRecordState.LIVE
        when {
            !watcher.isUp -> hostLease.renewDuringOutage(nowMs, out)
            drainedAtMs == null -> hostLease.onTick(nowMs, { lease -> HostRecord(self, state, lease) }, out)
            else -> hostLease.removeRecord(nowMs, out)
        }
    }

    private fun pollPeers(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        updateDeparture(nowMs)
        val isUnresponsive = isStoreUnresponsive(nowMs)
        val needsWitnessVotes = coordinator.needsWitnessVotes || (isUnresponsive && isMember())
        peerPoller.onTick(nowMs, needsWitnessVotes, isUnresponsive, coordinator.suspects, configurationRevision(), out)
    }

    private fun updateDeparture(nowMs: Long) {
        val sinceMs = drainedAtMs ?: return
        val isRemoved = watcher.isUp && hostLease.isRecordRemoved
        hasLeft = isRemoved || nowMs - sinceMs >= settings.departTimeoutMs
    }

    private fun isStoreUnresponsive(nowMs: Long): Boolean {
        val lastContactAtMs = watcher.lastContactAtMs ?: return nowMs - startedAtMs > RESPONSE_MARGIN_MS
        val expectedAgeMs = settings.renewPeriodMs(fleetSize()) + settings.watchWaitMs(fleetSize()) + RESPONSE_MARGIN_MS
        return !watcher.isUp || nowMs - lastContactAtMs > expectedAgeMs
    }

    private fun onWatchReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
        out: OutputBuilder,
    ) {
        val changes = watcher.onReply(nowMs, sentAtMs, call, result) ?: return
        out.configurationChange = changes.lastOrNull { it.key == MembershipKeys.CONFIGURATION }
        reportUndecodableRoster(changes, out)
        watcher.view.roster?.let { adoptRoster(it, out) }
        watcher.view.roster?.let { standingTracker.onStoreConfirmation(it.value.epoch, sentAtMs) }
        freshness.onStoreConfirmation(sentAtMs)
        if (incarnation == NOT_JOINED) startNewIncarnation(out)
    }

    private fun reportUndecodableRoster(
        changes: List<StoreChange>,
        out: OutputBuilder,
    ) {
        val change = changes.lastOrNull { it.key == MembershipKeys.ROSTER && it.value != null } ?: return
        if (watcher.view.roster == null) out.addEvent(MembershipEvent.DocumentIgnored(change.key, change.revision))
    }

    private fun onRosterReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
        out: OutputBuilder,
    ) {
        val stored = coordinator.onReply(nowMs, call, result, out) ?: return
        adoptRoster(stored, out)
        standingTracker.onStoreConfirmation(stored.value.epoch, sentAtMs)
    }

    private fun adoptRoster(
        candidate: DecodedEntry<RosterDocument>,
        out: OutputBuilder,
    ) {
        val wasMember = isMember()
        if (!currentRoster.replaceIfNewer(candidate)) return
        val document = candidate.value
        epochTracker.observe(document.epoch)
        standingTracker.startEpoch(document.epoch, document.witnesses)
        peerPoller.pollSoon()
        out.addEvent(MembershipEvent.RosterAdopted(document.epoch, document.phase, document.members.size))
        if (wasMember && !isMember()) startNewIncarnation(out)
    }

    private fun startNewIncarnation(out: OutputBuilder) {
        val usedIncarnations =
            listOfNotNull(
                incarnation.value,
                watcher.view.revision,
                currentRoster.entry?.revision,
                currentRoster.memberOf(description.host)?.incarnation?.value,
            )
        incarnation = Incarnation(usedIncarnations.max() + 1)
        out.addEvent(MembershipEvent.IncarnationChanged(incarnation))
    }

    private fun onStandingRequest(
        nowMs: Long,
        from: HostId,
        request: StandingRequest,
        out: OutputBuilder,
    ) {
        epochTracker.observe(request.epoch)
        recordPeerRevision(from, request.configurationRevision, out)
        val isVoteGranted = incarnation != NOT_JOINED && epochTracker.votesFor(request.epoch)
        val reply =
            StandingReply(
                nonce = request.nonce,
                votedEpoch = request.epoch.takeIf { isVoteGranted },
                highestEpoch = epochTracker.highestEpoch,
                roster = currentRoster.version,
                configurationRevision = configurationRevision(),
                freshnessConfirmation = freshness.confirmationToForward(nowMs),
                voteAgesMs = standingTracker.voteAgesToRelay(nowMs, request.epoch, settings.standingMs),
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
        val sentAtMs = peerPoller.sentAtMs(reply.nonce) ?: return
        epochTracker.observe(reply.highestEpoch)
        reply.votedEpoch?.let { standingTracker.onVote(from, fromIncarnation, it, sentAtMs) }
        standingTracker.onRelayedVotes(reply.roster.epoch, sentAtMs, reply.voteAgesMs)
        reply.freshnessConfirmation?.let { freshness.onPeerConfirmation(sentAtMs, it) }
        recordPeerRevision(from, reply.configurationRevision, out)
        if (isStoreUnresponsive(nowMs)) exchange.onPeerVersion(nowMs, from, reply.roster, out)
    }

    private fun recordPeerRevision(
        from: HostId,
        revision: Long,
        out: OutputBuilder,
    ) {
        freshness.onPeerRevision(revision)
        out.addPeerRevision(from, revision)
    }

    private fun isStoreRegionGone(nowMs: Long): Boolean {
        val members = currentRoster.members.filter { it.region == settings.storeRegion }
        return members.isNotEmpty() && members.all { hostList.isGone(nowMs, it.host) }
    }

    private fun StoreCall.isRosterCall(): Boolean =
        (this is StoreCall.CompareAndSwap && key == MembershipKeys.ROSTER) || (this is StoreCall.Read && key == MembershipKeys.ROSTER)

    companion object {
        /** Incarnation of a host that has not reached the store yet. */
        val NOT_JOINED: Incarnation = Incarnation(0)

        /** Time beyond the longest regular interval between store replies after which the store counts as unresponsive. */
        private const val RESPONSE_MARGIN_MS = 500L
        private const val NOT_STARTED = Long.MAX_VALUE
    }
}
