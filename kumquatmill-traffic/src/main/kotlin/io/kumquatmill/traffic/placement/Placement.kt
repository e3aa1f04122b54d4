package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.allowance.DemandMeter
import io.kumquatmill.traffic.model.TrafficRoute
import kotlin.math.ln
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
        val spill = SpillGuard(settings.spillWindowMs, settings.spillStep, firstPart = 1 - localShare.value)
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
        val hasRoom: Boolean,
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
                local.isEmpty() -> best(query, remoteCandidates(nowMs, query, remote))
                isLocalKey -> best(query, localCandidates(nowMs, query, usage, local)) ?: spilled(nowMs, query, usage, remote)
                else ->
                    best(query, remoteCandidates(nowMs, query, remote))
                        ?: kept(nowMs, query, usage, local, hasRemote = remote.isNotEmpty())
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

    /** Notes that a worker had no answer to a request of [route] after [tookMs]. */
    fun onTimedOut(
        nowMs: Long,
        route: TrafficRoute,
        track: WorkerTrack,
        wasWarm: Boolean,
        tookMs: Double,
    ) = track.onTimedOut(nowMs, tookMs / runTimes.expectedMs(route, wasWarm))

    private fun isAllowed(
        track: WorkerTrack,
        query: PlacementQuery,
    ): Boolean = !track.isLeaving && (query.homeRegions == null || regionOf(track) in query.homeRegions)

    private fun spilled(
        nowMs: Long,
        query: PlacementQuery,
        usage: Usage,
        remote: List<WorkerTrack>,
    ): Candidate? = if (remote.isNotEmpty() && usage.spill.mayLeave(nowMs)) best(query, remoteCandidates(nowMs, query, remote)) else null

    private fun kept(
        nowMs: Long,
        query: PlacementQuery,
        usage: Usage,
        local: List<WorkerTrack>,
        hasRemote: Boolean,
    ): Candidate? = if (!hasRemote || usage.spill.mayStay(nowMs)) best(query, localCandidates(nowMs, query, usage, local)) else null

    /** Workers of the own zone, then of the region's other zones; all as one group where a zone alone can't keep the keys warm. */
    private fun localCandidates(
        nowMs: Long,
        query: PlacementQuery,
        usage: Usage,
        local: List<WorkerTrack>,
    ): List<Candidate> {
        val (ownZoneWorkers, others) = local.partition { it.entry.availabilityZone == ownZone }
        val keys = max(usage.keysBefore, usage.keysSeen.size) * usage.localShare.value
        val isZoneEnough = ownZoneWorkers.size * settings.warmKeysPerWorker >= keys
        if (!isZoneEnough) return candidates(nowMs, query, local, settings.candidatesPerZone, otherZoneMs = 0.0)
        return candidates(nowMs, query, ownZoneWorkers, settings.candidatesPerZone, otherZoneMs = 0.0) +
            byZone(others).flatMap { candidates(nowMs, query, it, 1, settings.otherZoneMs) }
    }

    /** The best workers of the two zones that the key prefers: the same at which the hosts of these zones keep it warm. */
    private fun remoteCandidates(
        nowMs: Long,
        query: PlacementQuery,
        remote: List<WorkerTrack>,
    ): List<Candidate> =
        byZone(remote)
            .sortedByDescending { zone -> zoneScore(query.keyHash, zone) }
            .take(REMOTE_ZONES)
            .flatMapIndexed { index, zone -> candidates(nowMs, query, zone, settings.candidatesPerZone, index * settings.otherZoneMs) }

    private fun byZone(tracks: List<WorkerTrack>): Collection<List<WorkerTrack>> = tracks.groupBy { it.entry.availabilityZone }.values

    /** Rendezvous score of a zone, weighted by its slots. */
    private fun zoneScore(
        keyHash: Long,
        zone: List<WorkerTrack>,
    ): Double {
        val draw = unit(combineHashes(keyHash, zone.first().zoneHash))
        return -zone.sumOf { it.entry.slots } / ln(max(draw, Double.MIN_VALUE))
    }

    private fun candidates(
        nowMs: Long,
        query: PlacementQuery,
        group: List<WorkerTrack>,
        most: Int,
        otherZoneMs: Double,
    ): List<Candidate> = ranked(query.keyHash, group, most).mapIndexed { rank, track -> candidate(nowMs, query, track, rank, otherZoneMs) }

    private fun candidate(
        nowMs: Long,
        query: PlacementQuery,
        track: WorkerTrack,
        rank: Int,
        otherZoneMs: Double,
    ): Candidate {
        val isWarm = query.isKeyed && (rank == 0 || track.holds(query.keyHash))
        val coldFactor = if (track.isCold(nowMs)) settings.coldFactor else 1.0
        val runMs = runTimes.expectedMs(query.route, isWarm) * coldFactor * track.slownessFactor(nowMs) + wayMs(track)
        val waitMs = track.waitMs(nowMs)
        val failureMs = track.failurePart(nowMs) * query.route.targetLatencyMs * FAILURE_WEIGHT
        val hasRoom = isWarm || !query.isKeyed || track.load(nowMs) < track.entry.slots * settings.spareSlotsPart
        return Candidate(track, waitMs, runMs, waitMs + runMs + failureMs + rank * settings.rankStepMs + otherZoneMs, hasRoom)
    }

    private fun best(
        query: PlacementQuery,
        candidates: List<Candidate>,
    ): Candidate? = candidates.filter { it.hasRoom && isInTime(query, it) }.minByOrNull { it.costMs }

    /** With a free slot a request must be expected to end before it is given up; it waits only while it can still meet its target. */
    private fun isInTime(
        query: PlacementQuery,
        candidate: Candidate,
    ): Boolean {
        val runMs = if (runTimes.isKnown(query.route)) candidate.runMs * RUN_PART else 0.0
        return candidate.waitMs <= waitLimitMs(query, candidate) && candidate.waitMs + runMs <= query.timeLeftMs
    }

    private fun waitLimitMs(
        query: PlacementQuery,
        candidate: Candidate,
    ): Double {
        val rank = if (query.isReturning) 0 else min(query.rank, settings.waitParts.lastIndex)
        return max(0.0, query.route.targetLatencyMs - candidate.runMs) * settings.waitParts[rank]
    }

    private fun ranked(
        keyHash: Long,
        group: List<WorkerTrack>,
        most: Int,
    ): List<WorkerTrack> {
        if (group.size <= 1) return group
        return group
            .map { it to combineHashes(keyHash, it.nameHash) }
            .sortedByDescending { it.second }
            .take(most)
            .map { it.first }
    }

    /** Callers that come back are spread over as long as the wait again, so that they do not meet. */
    private fun noRoom(
        nowMs: Long,
        query: PlacementQuery,
        usable: List<WorkerTrack>,
    ): PlacementChoice {
        val shortestMs = max(MIN_RETRY_MS, usable.minOf { it.waitMs(nowMs) })
        return PlacementChoice.NoRoom((shortestMs * (1 + unit(combineHashes(query.requestHash, SPREAD_SALT)))).toLong())
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
    private fun position(keyHash: Long): Double = unit(combineHashes(keyHash, POSITION_SALT))

    /** Maps a hash to 0..1. */
    private fun unit(hash: Long): Double = (hash ushr SHIFT) / POSITIONS

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

        /** A slot gets free within about a request's run; coming back sooner meets the same queue. */
        const val MIN_RETRY_MS = 300.0

        /** A key that runs in another region has a second zone there for when the first has no room. */
        const val REMOTE_ZONES = 2
        const val SPREAD_SALT = 0x2545F4914F6CDD1DL
        const val PAUSE_RETRY_MS = 400L
        const val POSITION_SALT = 0x5851F42D4C957F2DL
        const val SHIFT = 11
        const val POSITIONS = 9.007199254740992E15
    }
}
