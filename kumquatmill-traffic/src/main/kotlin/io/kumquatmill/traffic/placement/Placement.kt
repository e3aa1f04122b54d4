package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.admission.AdmissionCandidate
import io.kumquatmill.traffic.admission.CapacityAdmission
import io.kumquatmill.traffic.model.TrafficRoute
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/**
 * Chooses the worker of each request.
 *
 * A worker executes a request far faster if it has the request's object in its cache, so an affinity key keeps its workers. They are
 * ranked by a weighted rendezvous hash, which is the same at all hosts of a region and prefers workers of the own region as far as
 * their slots suffice (see [RegionWeights]). The keys of a busy, slow, failing or cold worker go to their next worker and return
 * later. A request that would wait too long at every worker is refused before it occupies a queue.
 *
 * @param regionByZone region of each availability zone
 * @param admission decides on requests that are admitted by cost
 */
class Placement(
    private val workers: WorkerRegistry,
    private val regionByZone: Map<AvailabilityZoneId, RegionId>,
    ownZone: AvailabilityZoneId,
    private val settings: PlacementSettings = PlacementSettings(),
    private val admission: CapacityAdmission = CapacityAdmission(),
) {
    private class Candidate(
        val worker: TrackedWorker,
        val waitMs: Double,
        val serviceMs: Double,
        val costMs: Double,
        val acceptsKey: Boolean,
    )

    private class CachedWeights(
        val workersVersion: Long,
        val byRegion: Map<RegionId, Double>,
    )

    private val ownRegion: RegionId? = regionByZone[ownZone]
    private val serviceTimes = ServiceTimes()
    private val regionWeights = RegionWeights(settings.ownRegionPreference)
    private val weightsByUpstream = HashMap<UpstreamId, CachedWeights>()

    /** Returns the worker for [query], or the reason why there is none. */
    fun choose(
        nowMs: Long,
        query: PlacementQuery,
    ): PlacementChoice {
        val eligible = workers.workersOf(query.upstream).filter { isEligible(it, query) }
        val available = eligible.filter { it.isAvailable(nowMs) && it.entry.id !in query.triedWorkers }
        if (available.isEmpty()) {
            return if (eligible.isEmpty()) PlacementChoice.NoWorker else PlacementChoice.NoCapacity(unavailableMs(nowMs, query, eligible))
        }
        val (toldLeaving, others) = available.partition { workers.isToldLeaving(nowMs, it) }
        val best = best(nowMs, query, others) ?: best(nowMs, query, toldLeaving)
        return best?.let { PlacementChoice.Chosen(it.worker, it.waitMs, it.serviceMs) } ?: noCapacity(nowMs, query, available)
    }

    private fun best(
        nowMs: Long,
        query: PlacementQuery,
        available: List<TrackedWorker>,
    ): Candidate? =
        ranked(query, available)
            .mapIndexed { rank, worker -> candidate(nowMs, query, worker, rank) }
            .filter { it.acceptsKey && isInTime(query, it) }
            .minByOrNull { it.costMs }

    /** Records that the request of [query] was sent to [worker]. */
    fun onSent(
        nowMs: Long,
        query: PlacementQuery,
        worker: TrackedWorker,
    ) = worker.onSent(nowMs, if (query.hasAffinityKey) query.affinityHash else null)

    /**
     * Records that [worker] answered a request of [route] after [durationMs] milliseconds.
     *
     * @param wasCached whether the worker was assumed to have the request's object in its cache
     * @param hadFreeSlot whether the request was expected to start without waiting
     */
    fun onAnswered(
        nowMs: Long,
        route: TrafficRoute,
        worker: TrackedWorker,
        wasCached: Boolean,
        hadFreeSlot: Boolean,
        durationMs: Double,
    ) {
        val serviceMs = max(1.0, durationMs - roundTripMs(worker))
        val expectedMs = serviceTimes.expectedMs(route, wasCached)
        val isComparable = hadFreeSlot && !worker.isCold(nowMs)
        worker.onAnswered(nowMs, if (isComparable) serviceMs / expectedMs else null, serviceMs)
        if (isComparable && serviceMs < expectedMs * OUTLIER_FACTOR) serviceTimes.observe(route, wasCached, serviceMs)
    }

    /** Records that [worker] had not answered a request of [route] after [durationMs] milliseconds. */
    fun onTimedOut(
        nowMs: Long,
        route: TrafficRoute,
        worker: TrackedWorker,
        wasCached: Boolean,
        durationMs: Double,
    ) = worker.onTimedOut(nowMs, durationMs / serviceTimes.expectedMs(route, wasCached))

    private fun isEligible(
        worker: TrackedWorker,
        query: PlacementQuery,
    ): Boolean = !worker.isLeaving && (query.homeRegions == null || regionOf(worker) in query.homeRegions)

    private fun candidate(
        nowMs: Long,
        query: PlacementQuery,
        worker: TrackedWorker,
        rank: Int,
    ): Candidate {
        val isCached = query.hasAffinityKey && (rank == 0 || worker.hasCached(query.affinityHash))
        val coldFactor = if (worker.isCold(nowMs)) settings.coldWorkerFactor else 1.0
        val serviceMs = serviceTimes.expectedMs(query.route, isCached) * coldFactor * worker.slowdown(nowMs) + roundTripMs(worker)
        val waitMs = worker.expectedWaitMs(nowMs)
        val failureMs = worker.failureRatio(nowMs) * query.route.targetLatencyMs * FAILURE_COST_FACTOR
        val acceptsKey = isCached || !query.hasAffinityKey || worker.load(nowMs) < worker.entry.slots * settings.uncachedKeyMaxLoad
        return Candidate(worker, waitMs, serviceMs, waitMs + serviceMs + failureMs + rank * settings.rankPenaltyMs, acceptsKey)
    }

    /**
     * Returns whether [candidate] can answer in time. A request must be expected to finish before its deadline, and may wait in a
     * queue only as long as it can still meet its target latency.
     */
    private fun isInTime(
        query: PlacementQuery,
        candidate: Candidate,
    ): Boolean {
        val serviceMs = if (serviceTimes.isKnown(query.route)) candidate.serviceMs * MIN_SERVICE_FRACTION else 0.0
        val byCost = query.admission
        if (byCost != null) {
            val entry = candidate.worker.entry
            val maxRoundTripMs = if (regionByZone.values.any { it != ownRegion }) settings.crossRegionRoundTripMs else 0.0
            val reserveMs = max(0.0, maxRoundTripMs - roundTripMs(candidate.worker))
            val byCostCandidate =
                AdmissionCandidate(entry.availabilityZone, candidate.waitMs, candidate.serviceMs, serviceMs, reserveMs, entry.slots)
            return admission.decide(byCost, byCostCandidate, query.timeLeftMs).isServed
        }
        return candidate.waitMs <= maxWaitMs(query, candidate) && candidate.waitMs + serviceMs <= query.timeLeftMs
    }

    private fun maxWaitMs(
        query: PlacementQuery,
        candidate: Candidate,
    ): Double {
        val rank = if (query.isCallerRetry) 0 else min(query.priorityRank, settings.maxWaitFractions.lastIndex)
        return max(0.0, query.route.targetLatencyMs - candidate.serviceMs) * settings.maxWaitFractions[rank]
    }

    /** Returns the workers that the affinity key prefers, most preferred first. */
    private fun ranked(
        query: PlacementQuery,
        available: List<TrackedWorker>,
    ): List<TrackedWorker> {
        if (available.size <= 1) return available
        val weights = slotWeights(query.upstream)
        return available
            .map { it to score(query.affinityHash, it, weights) }
            .sortedByDescending { (_, score) -> score }
            .take(settings.maxCandidates)
            .map { (worker, _) -> worker }
    }

    /** Returns the score of weighted rendezvous hashing: each worker ranks first for a fraction of the keys in proportion to its weight. */
    private fun score(
        affinityHash: Long,
        worker: TrackedWorker,
        weights: Map<RegionId, Double>,
    ): Double {
        val weight = worker.entry.slots * (regionOf(worker)?.let { weights[it] } ?: 1.0)
        return -weight / ln(max(toUnitInterval(combineHashes(affinityHash, worker.nameHash)), Double.MIN_VALUE))
    }

    /** Returns the weight of a slot in each region, assuming that the callers of all zones cause the same demand. */
    private fun slotWeights(upstream: UpstreamId): Map<RegionId, Double> {
        val callerRegion = ownRegion ?: return emptyMap()
        val cached = weightsByUpstream[upstream]
        if (cached != null && cached.workersVersion == workers.version) return cached.byRegion
        val slots = HashMap<RegionId, Double>()
        workers.workersOf(upstream).forEach { worker ->
            regionOf(worker)?.let { slots.merge(it, worker.entry.slots.toDouble(), Double::plus) }
        }
        val demand =
            regionByZone.values
                .groupingBy { it }
                .eachCount()
                .mapValues { (_, count) -> count.toDouble() }
        return regionWeights
            .slotWeights(callerRegion, slots, demand)
            .also { weightsByUpstream[upstream] = CachedWeights(workers.version, it) }
    }

    /** Refuses a request that would have to wait too long at every worker. */
    private fun noCapacity(
        nowMs: Long,
        query: PlacementQuery,
        available: List<TrackedWorker>,
    ): PlacementChoice {
        val shortestMs = max(MIN_RETRY_AFTER_MS, available.minOf { it.expectedWaitMs(nowMs) })
        return PlacementChoice.NoCapacity(spread(query, shortestMs))
    }

    /**
     * Returns the time in milliseconds after which to retry the request of [query] if all its workers want no requests from this host for a
     * while, or null if one does. It is not before the first of these pauses ends, and differs between requests.
     */
    fun pausedMs(
        nowMs: Long,
        query: PlacementQuery,
    ): Long? = pausedMs(nowMs, query, workers.workersOf(query.upstream).filter { isEligible(it, query) })

    private fun pausedMs(
        nowMs: Long,
        query: PlacementQuery,
        eligible: List<TrackedWorker>,
    ): Long? {
        if (eligible.isEmpty() || eligible.any { it.pauseLeftMs(nowMs) == 0L }) return null
        val firstMs = eligible.minOf { max(it.pauseLeftMs(nowMs), it.rateLimit.availableInMs(nowMs) ?: 0) }
        return firstMs + spread(query, PAUSE_SPREAD_MS) - PAUSE_SPREAD_MS.toLong()
    }

    /**
     * Returns when to retry although no worker is available: not before a worker that is left out is tried again, and if workers keep to a
     * rate limit, not before one of them takes a request.
     */
    private fun unavailableMs(
        nowMs: Long,
        query: PlacementQuery,
        eligible: List<TrackedWorker>,
    ): Long {
        pausedMs(nowMs, query, eligible)?.let { return max(it, UNAVAILABLE_RETRY_AFTER_MS) }
        val tokenMs = eligible.mapNotNull { it.rateLimit.availableInMs(nowMs) }.minOrNull() ?: 0
        val earliestMs = max(tokenMs, eligible.minOf { max(it.misdirectedForMs(nowMs), it.pauseLeftMs(nowMs)) })
        return if (earliestMs <= UNAVAILABLE_RETRY_AFTER_MS) UNAVAILABLE_RETRY_AFTER_MS else spread(query, earliestMs.toDouble())
    }

    /** Returns a time from [shortestMs] to twice as much, which differs between requests so that callers do not all retry at once. */
    private fun spread(
        query: PlacementQuery,
        shortestMs: Double,
    ): Long = (shortestMs * (1 + toUnitInterval(combineHashes(query.requestHash, SPREAD_SALT)))).toLong()

    private fun regionOf(worker: TrackedWorker): RegionId? = regionByZone[worker.entry.availabilityZone]

    private fun roundTripMs(worker: TrackedWorker): Double = if (regionOf(worker) == ownRegion) 0.0 else settings.crossRegionRoundTripMs

    /** Maps a hash to a number from 0 to 1. */
    private fun toUnitInterval(hash: Long): Double = (hash ushr HASH_SHIFT) / HASH_RANGE

    private companion object {
        /** A failure costs the caller about one retry, which seldom meets the target latency. */
        const val FAILURE_COST_FACTOR = 2.0

        /** Fraction of the expected service time that must be left, as many requests are faster than the mean. */
        const val MIN_SERVICE_FRACTION = 0.9

        /** A service time beyond this many times the expected one is attributed to the worker, not to the route. */
        const val OUTLIER_FACTOR = 4.0

        /** A slot becomes free within about the service time of a request; an earlier retry would meet the same queue. */
        const val MIN_RETRY_AFTER_MS = 300.0
        const val SPREAD_SALT = 0x2545F4914F6CDD1DL
        const val UNAVAILABLE_RETRY_AFTER_MS = 400L

        /** Time over which callers return after a pause, so that the worker is not full at once again. */
        const val PAUSE_SPREAD_MS = 1_000.0
        const val HASH_SHIFT = 11
        const val HASH_RANGE = 9.007199254740992E15
    }
}
