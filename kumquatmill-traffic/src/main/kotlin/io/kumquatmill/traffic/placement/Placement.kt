package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.allowance.DemandMeter
import io.kumquatmill.traffic.model.TrafficRoute
import kotlin.math.max
import kotlin.math.min

/**
 * Chooses the worker of each request.
 *
 * Patterns answered: work is far faster where its object is warm, so a key keeps its workers, ranked by rendezvous hashing in the
 * host's zone, its region, and the other regions; a busy, slow, failing or cold worker sends its keys to their next one and gets
 * them back; a request that would wait too long anywhere is turned away before it takes up a queue.
 *
 * @param zones region of each availability zone
 */
class Placement(
    private val book: WorkerBook,
    private val zones: Map<AvailabilityZoneId, RegionId>,
    private val ownZone: AvailabilityZoneId,
    private val settings: PlacementSettings = PlacementSettings(),
) {
    private class Usage(
        first: Double,
        settings: PlacementSettings,
    ) {
        val localShare = LocalShare(first, settings.localShareStepPerS)
        val spill = SpillGuard(settings.spillWindowMs, settings.spillStep)
        val work = DemandMeter(DEMAND_WINDOW_MS)
        var keysSeen = HashSet<Long>()
        var keysBefore = 0
        var keysSinceMs = 0L
    }

    private class Candidate(
        val track: WorkerTrack,
        val waitMs: Double,
        val runMs: Double,
        val costMs: Double,
    )

    private val ownRegion: RegionId? = zones[ownZone]
    private val runTimes = RunTimes()
    private val usages = HashMap<UpstreamId, Usage>()

    /** Moves the borders between regions; [hostsInRegion] hosts are taken to have as much demand as this one. */
    fun adapt(
        nowMs: Long,
        hostsInRegion: Int,
    ) = usages.forEach { (upstream, usage) ->
        usage.localShare.moveTowards(nowMs, targetShare(nowMs, upstream, usage, hostsInRegion))
        if (nowMs - usage.keysSinceMs >= KEY_WINDOW_MS) {
            usage.keysBefore = usage.keysSeen.size
            usage.keysSeen = HashSet()
            usage.keysSinceMs = nowMs
        }
    }

    /** Returns the worker for [query], or why there is none. */
    fun choose(
        nowMs: Long,
        query: PlacementQuery,
    ): PlacementChoice {
        val allowed = book.of(query.upstream).filter { isAllowed(it, query) }
        val usable = allowed.filter { it.isUsable(nowMs) && it.entry.id !in query.triedWorkers }
        if (usable.isEmpty()) return if (allowed.isEmpty()) PlacementChoice.NoWorker else PlacementChoice.NoRoom(PAUSE_RETRY_MS)
        val usage = usages.getOrPut(query.upstream) { Usage(firstShare(query.upstream), settings) }
        if (query.isKeyed) usage.keysSeen.add(query.keyHash)
        if (query.triedWorkers.isEmpty()) usage.work.count(nowMs, runTimes.expectedMs(query.route, isWarm = true))
        val (local, remote) = usable.partition { regionOf(it) == ownRegion }
        val isLocalKey = position(query.keyHash) < usage.localShare.value
        val chosen =
            when {
                local.isEmpty() -> best(nowMs, query, listOf(remote))
                isLocalKey -> bestLocal(nowMs, query, usage, local) ?: spilled(nowMs, query, usage, remote)
                else -> best(nowMs, query, listOf(remote)) ?: bestLocal(nowMs, query, usage, local)
            }
        return chosen?.let { PlacementChoice.Chosen(it.track, it.waitMs, it.runMs) } ?: noRoom(nowMs, query, usable)
    }

    /** Notes that the request of [query] goes to [track]. */
    fun onSent(
        nowMs: Long,
        query: PlacementQuery,
        track: WorkerTrack,
    ) {
        track.onSent(nowMs, if (query.isKeyed) query.keyHash else null)
        usages[query.upstream]?.spill?.count(nowMs, regionOf(track) != ownRegion)
    }

    /** Notes that a worker answered a request of [route] in [tookMs], for which it was taken to be warm or not. */
    fun onAnswered(
        nowMs: Long,
        route: TrafficRoute,
        track: WorkerTrack,
        wasWarm: Boolean,
        hadRoom: Boolean,
        tookMs: Double,
    ) {
        val runMs = max(1.0, tookMs - wayMs(track))
        val expectedMs = runTimes.expectedMs(route, wasWarm)
        val isFair = hadRoom && !track.isCold(nowMs)
        track.onAnswered(nowMs, if (isFair) runMs / expectedMs else null, runMs)
        if (isFair && runMs < expectedMs * OUTLIER) runTimes.observe(route, wasWarm, runMs)
    }

    private fun isAllowed(
        track: WorkerTrack,
        query: PlacementQuery,
    ): Boolean = !track.isLeaving && (query.homeRegions == null || regionOf(track) in query.homeRegions)

    private fun bestLocal(
        nowMs: Long,
        query: PlacementQuery,
        usage: Usage,
        local: List<WorkerTrack>,
    ): Candidate? {
        val (ownZoneWorkers, others) = local.partition { it.entry.availabilityZone == ownZone }
        val keys = max(usage.keysBefore, usage.keysSeen.size) * usage.localShare.value
        val isZoneEnough = ownZoneWorkers.size * settings.warmKeysPerWorker >= keys
        return best(nowMs, query, if (isZoneEnough) listOf(ownZoneWorkers, others) else listOf(local))
    }

    private fun spilled(
        nowMs: Long,
        query: PlacementQuery,
        usage: Usage,
        remote: List<WorkerTrack>,
    ): Candidate? = if (remote.isNotEmpty() && usage.spill.mayLeave(nowMs)) best(nowMs, query, listOf(remote)) else null

    /** Returns the cheapest worker of [groups] at which the request need not wait too long. */
    private fun best(
        nowMs: Long,
        query: PlacementQuery,
        groups: List<List<WorkerTrack>>,
    ): Candidate? =
        groups
            .flatMapIndexed { index, group ->
                ranked(query.keyHash, group).mapIndexed { rank, track -> candidate(nowMs, query, track, rank, isOtherZone = index > 0) }
            }.filter { isInTime(query, it) }
            .minByOrNull { it.costMs }

    private fun candidate(
        nowMs: Long,
        query: PlacementQuery,
        track: WorkerTrack,
        rank: Int,
        isOtherZone: Boolean,
    ): Candidate {
        val isWarm = query.isKeyed && (rank == 0 && !isOtherZone || track.holds(query.keyHash))
        val coldFactor = if (track.isCold(nowMs)) settings.coldFactor else 1.0
        val runMs = runTimes.expectedMs(query.route, isWarm) * coldFactor * track.slownessFactor(nowMs) + wayMs(track)
        val waitMs = track.waitMs(nowMs)
        val failureMs = track.failurePart(nowMs) * query.route.targetLatencyMs * FAILURE_WEIGHT
        val placeMs = rank * settings.rankStepMs + if (isOtherZone) settings.otherZoneMs else 0.0
        return Candidate(track, waitMs, runMs, waitMs + runMs + failureMs + placeMs)
    }

    /** A request may wait for a part of its target, by urgency, and must be expected to end before it is given up. */
    private fun isInTime(
        query: PlacementQuery,
        candidate: Candidate,
    ): Boolean {
        val runMs = if (runTimes.isKnown(query.route)) candidate.runMs * RUN_PART else 0.0
        return candidate.waitMs <= waitLimitMs(query) && candidate.waitMs + runMs <= query.timeLeftMs
    }

    private fun waitLimitMs(query: PlacementQuery): Double =
        query.route.targetLatencyMs * settings.waitParts[min(query.rank, settings.waitParts.lastIndex)]

    private fun ranked(
        keyHash: Long,
        group: List<WorkerTrack>,
    ): List<WorkerTrack> {
        if (group.size <= 1) return group
        return group
            .map { it to combineHashes(keyHash, it.nameHash) }
            .sortedByDescending { it.second }
            .take(settings.candidatesPerGroup)
            .map { it.first }
    }

    private fun noRoom(
        nowMs: Long,
        query: PlacementQuery,
        usable: List<WorkerTrack>,
    ): PlacementChoice {
        val shortestMs = usable.minOf { it.waitMs(nowMs) } - waitLimitMs(query)
        return PlacementChoice.NoRoom(max(MIN_RETRY_MS, shortestMs.toLong()))
    }

    /** What this region can bear, by slots and by warm objects, as a part of what its callers ask. */
    private fun targetShare(
        nowMs: Long,
        upstream: UpstreamId,
        usage: Usage,
        hostsInRegion: Int,
    ): Double {
        val workers = book.of(upstream).filter { it.isUsable(nowMs) || it.isCold(nowMs) }
        val local = workers.filter { regionOf(it) == ownRegion }
        if (local.size == workers.size) return 1.0
        val busySlots = usage.work.ratePerS(nowMs) / MILLIS_PER_SECOND * max(1, hostsInRegion)
        val bySlots = local.sumOf { it.entry.slots } * settings.localUtilization / max(busySlots, 1.0)
        val keys = max(usage.keysBefore, usage.keysSeen.size)
        val byKeys = if (keys == 0) 1.0 else local.size * settings.warmKeysPerWorker / keys.toDouble()
        return min(bySlots, byKeys)
    }

    /** Before any demand is known, a region is taken to need as many slots as the mean region has. */
    private fun firstShare(upstream: UpstreamId): Double {
        val workers = book.of(upstream)
        val regions = zones.values.toSet().size
        val mean = workers.sumOf { it.entry.slots } / regions.toDouble()
        val local = workers.filter { regionOf(it) == ownRegion }.sumOf { it.entry.slots }
        return if (mean <= 0) 1.0 else local / (mean * EXPECTED_UTILIZATION)
    }

    private fun regionOf(track: WorkerTrack): RegionId? = zones[track.entry.availabilityZone]

    private fun wayMs(track: WorkerTrack): Double = if (regionOf(track) == ownRegion) 0.0 else settings.otherRegionMs

    /** Position of a key in 0..1, independent of its rank among workers. */
    private fun position(keyHash: Long): Double = (combineHashes(keyHash, POSITION_SALT) ushr SHIFT) / POSITIONS

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val DEMAND_WINDOW_MS = 4_000.0

        /** Time in which the number of keys in use is counted. */
        const val KEY_WINDOW_MS = 10_000L

        /** Part of the slots that is taken to be used before demand is known. */
        const val EXPECTED_UTILIZATION = 0.6

        /** A failure costs the caller about a repeat, which seldom meets the target. */
        const val FAILURE_WEIGHT = 2.0

        /** Part of the expected time that must be left: many requests are faster than the mean. */
        const val RUN_PART = 0.9

        /** Times beyond this many times the expected one tell of a worker, not of a route. */
        const val OUTLIER = 4.0
        const val MIN_RETRY_MS = 150L
        const val PAUSE_RETRY_MS = 400L
        const val POSITION_SALT = 0x5851F42D4C957F2DL
        const val SHIFT = 11
        const val POSITIONS = 9.007199254740992E15
    }
}
