package io.kumquatmill.membership.standing

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.membership.roster.CurrentRoster
import kotlin.random.Random

/**
 * Polls peers once per period: some at random, and the witnesses when their votes are needed.
 *
 * While the store does not respond, most hosts of a large fleet poll relays instead of the witnesses.
 * Each host then also polls a member of the store's region, to confirm that its configuration is current.
 */
internal class PeerPoller(
    private val description: HostDescription,
    private val settings: MembershipSettings,
    private val currentRoster: CurrentRoster,
    private val random: Random,
) {
    private val sentRequests = SentRequestLog()
    private var nextRoundAtMs = Long.MIN_VALUE
    private var lastRoundPolledWitnesses = false
    private var relays: List<Member> = emptyList()
    private var relaysEpoch = 0L

    /** Makes the next round due at the next tick. */
    fun pollSoon() {
        nextRoundAtMs = Long.MIN_VALUE
    }

    /** Returns when the request with [nonce] was sent, or null if this host did not send it or has forgotten it. */
    fun sentAtMs(nonce: Long): Long? = sentRequests.sentAtMs(nonce)

    fun onTick(
        nowMs: Long,
        needsWitnessVotes: Boolean,
        isStoreUnresponsive: Boolean,
        suspects: Set<HostId>,
        configurationRevision: Long,
        out: OutputBuilder,
    ) {
        val isDue = nowMs >= nextRoundAtMs || (needsWitnessVotes && !lastRoundPolledWitnesses)
        if (!isDue) return
        val targets = targets(needsWitnessVotes, isStoreUnresponsive) + (suspects - description.host)
        if (targets.isEmpty()) return
        val fleetSize = currentRoster.members.size
        nextRoundAtMs = nowMs + if (needsWitnessVotes) settings.witnessPollPeriodMs(fleetSize) else settings.renewPeriodMs(fleetSize)
        lastRoundPolledWitnesses = needsWitnessVotes
        val nonce = random.nextLong()
        sentRequests.add(nonce, nowMs)
        val request = MembershipMessage.StandingRequest(nonce, currentRoster.version.epoch, configurationRevision)
        targets.forEach { out.send(it, request) }
    }

    private fun targets(
        needsWitnessVotes: Boolean,
        isStoreUnresponsive: Boolean,
    ): Set<HostId> {
        val members = currentRoster.members
        val targets = mutableSetOf<HostId>()
        if (needsWitnessVotes) targets += witnessesOrRelays(isStoreUnresponsive)
        if (isStoreUnresponsive) targets += randomHosts(members.filter { it.region == settings.storeRegion }, 1)
        if (isStoreUnresponsive && members.isEmpty()) targets += settings.seedHosts
        targets += randomHosts(members, settings.gossipFanOut)
        return targets - description.host
    }

    private fun witnessesOrRelays(isStoreUnresponsive: Boolean): Collection<HostId> {
        selectRelays()
        val isRelay = relays.isEmpty() || relays.any { it.host == description.host }
        if (isStoreUnresponsive && !isRelay) return randomHosts(relays, settings.relayFanOut)
        return currentRoster.document
            ?.witnesses
            .orEmpty()
            .map { it.host }
    }

    /** Selects the relays, the same ones on every host of an epoch; a small fleet has none. */
    private fun selectRelays() {
        if (currentRoster.version.epoch == relaysEpoch) return
        relaysEpoch = currentRoster.version.epoch
        val members = currentRoster.members
        val count = settings.relayCount(members.size)
        relays = if (count >= members.size) emptyList() else rendezvousOrder(RELAY_KEY, members) { it.host.value }.take(count)
    }

    private fun randomHosts(
        members: List<Member>,
        count: Int,
    ): Set<HostId> {
        val others = members.size - members.count { it.host == description.host }
        val limit = minOf(count, others)
        val picked = mutableSetOf<HostId>()
        while (picked.size < limit) {
            val host = members.random(random).host
            if (host != description.host) picked += host
        }
        return picked
    }

    private companion object {
        const val RELAY_KEY = "relay"
    }
}
