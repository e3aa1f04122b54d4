package io.kumquatmill.steering.table

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.steering.host.SteerableHost
import io.kumquatmill.steering.host.SteerableState
import kotlin.math.ceil

/**
 * Answers look-ups from memory: which entry hosts the callers of a workspace should use.
 *
 * The hosts of a region are ordered by rendezvous hash of the workspace, so that its callers meet in few hosts; a large
 * workspace spreads its callers over more of them. Equal inputs give equal answers on every host. Build a new table when
 * the hosts change. It is not safe for use by several threads.
 *
 * [regionsOf] gives the regions of a caller; regions that it leaves out follow by rendezvous hash.
 * [demandPerS] gives the requests per second that a workspace may send.
 */
class SteeringTable(
    hosts: Collection<SteerableHost>,
    private val regionsOf: CallerRegions,
    private val demandPerS: (WorkspaceId) -> Double,
    private val settings: SteeringSettings = SteeringSettings(),
) {
    private val usableHosts = hosts.filter { it.state == SteerableState.LIVE || it.state == SteerableState.SUSPECTED }
    private val hostsByRegion = usableHosts.groupBy { it.region }
    private val liveRegions = usableHosts.filter { it.state == SteerableState.LIVE }.map { it.region }.toSet()
    private val orders = LinkedHashMap<OrderKey, List<SteeringAnswer>>()

    /** Returns the entry hosts for a caller of [workspace] at [clientIp]; open requests come without a workspace. */
    fun lookUp(
        workspace: WorkspaceId?,
        clientIp: String,
    ): SteeringAnswer {
        val region = firstUsableRegion(clientIp) ?: return SteeringAnswer(emptyList(), emptyList(), settings.suspectCacheMs)
        val answers = orders.getOrPut(OrderKey(workspace, region)) { buildAnswers(workspace, region) }
        forgetOldestOrder()
        return answers[rotationOf(clientIp, answers.size)]
    }

    private fun firstUsableRegion(clientIp: String): RegionId? {
        val preferred = regionsOf(clientIp)
        for (index in preferred.indices) {
            if (preferred[index] in liveRegions) return preferred[index]
        }
        return otherRegions(clientIp, preferred).firstOrNull()
    }

    private fun otherRegions(
        clientIp: String,
        preferred: List<RegionId>,
    ): List<RegionId> {
        val others = hostsByRegion.keys - preferred.toSet()
        val ordered = rendezvousOrder(clientIp, others) { it.value }
        return ordered.filter { it in liveRegions } + preferred.filter { it in hostsByRegion } + ordered
    }

    private fun buildAnswers(
        workspace: WorkspaceId?,
        region: RegionId,
    ): List<SteeringAnswer> {
        val key = workspace?.value.orEmpty()
        val ordered = ordered(key, hostsByRegion.getValue(region))
        val alternates = alternates(key, region)
        val spread = spread(workspace, ordered)
        return List(spread) { rotation -> answer(rotated(ordered, spread, rotation), alternates) }
    }

    private fun ordered(
        key: String,
        hosts: List<SteerableHost>,
    ): List<SteerableHost> {
        val order = rendezvousOrder(key, hosts) { it.host.value }
        val (live, suspected) = order.partition { it.state == SteerableState.LIVE }
        return live + suspected
    }

    private fun alternates(
        key: String,
        region: RegionId,
    ): List<SteerableHost> {
        val others = rendezvousOrder(key, hostsByRegion.keys - region) { it.value }
        val (live, suspected) = others.partition { it in liveRegions }
        return (live + suspected).take(settings.maxAlternates).map { ordered(key, hostsByRegion.getValue(it)).first() }
    }

    private fun spread(
        workspace: WorkspaceId?,
        ordered: List<SteerableHost>,
    ): Int {
        val liveCount = ordered.count { it.state == SteerableState.LIVE }.coerceAtLeast(1)
        if (workspace == null) return liveCount.coerceAtMost(settings.maxHosts)
        val perHostPerS = ordered.first().capabilityPerS * settings.maxHostPart
        val needed = ceil(demandPerS(workspace) / perHostPerS).toInt()
        return needed.coerceIn(1, minOf(liveCount, settings.maxHosts))
    }

    private fun rotated(
        ordered: List<SteerableHost>,
        spread: Int,
        rotation: Int,
    ): List<SteerableHost> {
        val used = ordered.take(spread)
        val first = used.drop(rotation) + used.take(rotation)
        return (first + ordered.drop(spread)).take(settings.maxHosts)
    }

    private fun answer(
        hosts: List<SteerableHost>,
        alternates: List<SteerableHost>,
    ): SteeringAnswer {
        val hasSuspect = (hosts + alternates).any { it.state == SteerableState.SUSPECTED }
        return SteeringAnswer(hosts, alternates, if (hasSuspect) settings.suspectCacheMs else settings.cacheMs)
    }

    private fun rotationOf(
        clientIp: String,
        count: Int,
    ): Int = if (count == 1) 0 else Math.floorMod(combineHashes(ROTATION_SEED, stableHash(clientIp)), count)

    private fun forgetOldestOrder() {
        if (orders.size <= settings.maxCachedOrders) return
        val oldest = orders.keys.iterator()
        oldest.next()
        oldest.remove()
    }

    private data class OrderKey(
        val workspace: WorkspaceId?,
        val region: RegionId,
    )

    private companion object {
        const val ROTATION_SEED = 0x5DEECE66DL
    }
}
