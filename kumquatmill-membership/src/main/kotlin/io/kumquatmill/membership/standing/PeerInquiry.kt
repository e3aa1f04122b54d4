package io.kumquatmill.membership.standing

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.membership.roster.RosterHolder
import kotlin.random.Random

/**
 * Asks peers what they know, once in each period: a few at random, and the witnesses when they are needed.
 *
 * While the store is silent, most hosts of a large fleet ask relays instead of the witnesses.
 * A host then also asks a member of the store's region, for word of the configuration.
 */
internal class PeerInquiry(
    private val description: HostDescription,
    private val settings: MembershipSettings,
    private val holder: RosterHolder,
    private val random: Random,
) {
    private val questions = QuestionLog()
    private var nextRoundMs = Long.MIN_VALUE
    private var lastRoundAskedWitnesses = false
    private var relays: List<Member> = emptyList()
    private var relaysEpoch = 0L

    /** Makes the next round due at once. */
    fun askSoon() {
        nextRoundMs = Long.MIN_VALUE
    }

    /** Returns when the question of [nonce] was sent, or null if this host did not ask it. */
    fun sentAtMs(nonce: Long): Long? = questions.sentAtMs(nonce)

    fun onTick(
        nowMs: Long,
        needsWitnesses: Boolean,
        isStoreSilent: Boolean,
        suspects: Set<HostId>,
        configurationRevision: Long,
        out: OutputBuilder,
    ) {
        val isDue = nowMs >= nextRoundMs || (needsWitnesses && !lastRoundAskedWitnesses)
        if (!isDue) return
        val targets = targets(needsWitnesses, isStoreSilent) + (suspects - description.host)
        if (targets.isEmpty()) return
        val fleetSize = holder.members.size
        nextRoundMs = nowMs + if (needsWitnesses) settings.askPeriodMs(fleetSize) else settings.renewPeriodMs(fleetSize)
        lastRoundAskedWitnesses = needsWitnesses
        val nonce = random.nextLong()
        questions.add(nonce, nowMs)
        val request = MembershipMessage.StandingRequest(nonce, holder.version.epoch, configurationRevision)
        targets.forEach { out.send(it, request) }
    }

    private fun targets(
        needsWitnesses: Boolean,
        isStoreSilent: Boolean,
    ): Set<HostId> {
        val members = holder.members
        val targets = mutableSetOf<HostId>()
        if (needsWitnesses) targets += witnessesOrRelays(isStoreSilent)
        if (isStoreSilent) targets += randomHosts(members.filter { it.region == settings.storeRegion }, 1)
        if (isStoreSilent && members.isEmpty()) targets += settings.seedHosts
        targets += randomHosts(members, settings.gossipFanOut)
        return targets - description.host
    }

    private fun witnessesOrRelays(isStoreSilent: Boolean): Collection<HostId> {
        chooseRelays()
        val isRelay = relays.isEmpty() || relays.any { it.host == description.host }
        if (isStoreSilent && !isRelay) return randomHosts(relays, settings.relayFanOut)
        return holder.document
            ?.witnesses
            .orEmpty()
            .map { it.host }
    }

    /** Relays are the same on every host of one epoch; a small fleet needs none. */
    private fun chooseRelays() {
        if (holder.version.epoch == relaysEpoch) return
        relaysEpoch = holder.version.epoch
        val members = holder.members
        val count = settings.relayCount(members.size)
        relays = if (count >= members.size) emptyList() else rendezvousOrder(RELAY_KEY, members) { it.host.value }.take(count)
    }

    private fun randomHosts(
        members: List<Member>,
        count: Int,
    ): Set<HostId> {
        val others = members.size - members.count { it.host == description.host }
        val wanted = minOf(count, others)
        val picked = mutableSetOf<HostId>()
        while (picked.size < wanted) {
            val host = members.random(random).host
            if (host != description.host) picked += host
        }
        return picked
    }

    private companion object {
        const val RELAY_KEY = "relay"
    }
}
