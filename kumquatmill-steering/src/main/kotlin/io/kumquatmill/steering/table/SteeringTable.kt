package io.kumquatmill.steering.table

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.steering.host.SteeringHost
import io.kumquatmill.steering.host.SteeringHostState
import kotlin.math.ceil

/**
 * Answers lookups from memory: which entry hosts the callers of a workspace should use.
 *
 * The hosts of a region are ordered by rendezvous hash of the workspace, so that its callers share few hosts; the callers of a large
 * workspace are spread over more hosts. Equal inputs give equal answers on every host. Build a new table when the hosts change. The table
 * is not thread-safe.
 *
 * [regionsOf] returns the regions of a caller; regions that it leaves out follow in the order of a rendezvous hash.
 * [demandPerS] returns the requests per second that a workspace may send.
 */
class SteeringTable(
    hosts: Collection<SteeringHost>,
    private val regionsOf: RegionResolver,
    private val demandPerS: (WorkspaceId) -> Double,
    private val settings: SteeringSettings = SteeringSettings(),
) {
    private val usableHosts = hosts.filter { it.state == SteeringHostState.LIVE || it.state == SteeringHostState.SUSPECTED }
    private val hostsByRegion = usableHosts.groupBy { it.region }
    private val liveRegions = usableHosts.filter { it.state == SteeringHostState.LIVE }.map { it.region }.toSet()
    private val answerCache = LinkedHashMap<CacheKey, List<SteeringAnswer>>()

    /** Returns the entry hosts for a caller of [workspace] at [clientIp]; [workspace] is null for a request without a key. */
    fun lookUp(
        workspace: WorkspaceId?,
        clientIp: String,
    ): SteeringAnswer {
        val region = selectRegion(clientIp) ?: return SteeringAnswer(emptyList(), emptyList(), settings.suspectCacheMs)
        val answers = answerCache.getOrPut(CacheKey(workspace, region)) { buildAnswers(workspace, region) }
        evictOldestEntry()
        return answers[rotationFor(clientIp, answers.size)]
    }

    private fun selectRegion(clientIp: String): RegionId? {
        val preferred = regionsOf(clientIp)
        for (index in preferred.indices) {
            if (preferred[index] in liveRegions) return preferred[index]
        }
        return fallbackRegions(clientIp, preferred).firstOrNull()
    }

    private fun fallbackRegions(
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
        val ordered = orderHosts(key, hostsByRegion.getValue(region))
        val alternates = selectAlternates(key, region)
        val hostCount = hostCountFor(workspace, ordered)
        return List(hostCount) { rotation -> buildAnswer(rotate(ordered, hostCount, rotation), alternates) }
    }

    private fun orderHosts(
        key: String,
        hosts: List<SteeringHost>,
    ): List<SteeringHost> {
        val order = rendezvousOrder(key, hosts) { it.host.value }
        val (live, suspected) = order.partition { it.state == SteeringHostState.LIVE }
        return live + suspected
    }

    private fun selectAlternates(
        key: String,
        region: RegionId,
    ): List<SteeringHost> {
        val others = rendezvousOrder(key, hostsByRegion.keys - region) { it.value }
        val (live, suspected) = others.partition { it in liveRegions }
        return (live + suspected).take(settings.maxAlternates).map { orderHosts(key, hostsByRegion.getValue(it)).first() }
    }

    private fun hostCountFor(
        workspace: WorkspaceId?,
        ordered: List<SteeringHost>,
    ): Int {
        val liveCount = ordered.count { it.state == SteeringHostState.LIVE }.coerceAtLeast(1)
        if (workspace == null) return liveCount.coerceAtMost(settings.maxHosts)
        val maxDemandPerHostPerS = ordered.first().capacityPerS * settings.maxHostUtilization
        val requiredHosts = ceil(demandPerS(workspace) / maxDemandPerHostPerS).toInt()
        return requiredHosts.coerceIn(1, minOf(liveCount, settings.maxHosts))
    }

    private fun rotate(
        ordered: List<SteeringHost>,
        hostCount: Int,
        rotation: Int,
    ): List<SteeringHost> {
        val used = ordered.take(hostCount)
        val first = used.drop(rotation) + used.take(rotation)
        return (first + ordered.drop(hostCount)).take(settings.maxHosts)
    }

    private fun buildAnswer(
        hosts: List<SteeringHost>,
        alternates: List<SteeringHost>,
    ): SteeringAnswer {
        val hasSuspectedHost = (hosts + alternates).any { it.state == SteeringHostState.SUSPECTED }
        return SteeringAnswer(hosts, alternates, if (hasSuspectedHost) settings.suspectCacheMs else settings.cacheMs)
    }

    private fun rotationFor(
        clientIp: String,
        count: Int,
    ): Int = if (count == 1) 0 else Math.floorMod(combineHashes(ROTATION_SEED, stableHash(clientIp)), count)

    private fun evictOldestEntry() {
        if (answerCache.size <= settings.maxCacheEntries) return
        val iterator = answerCache.keys.iterator()
        iterator.next()
        iterator.remove()
    }

    private data class CacheKey(
        val workspace: WorkspaceId?,
        val region: RegionId,
    )

    private companion object {
        const val ROTATION_SEED = 0x5DEECE66DL
    }
}
