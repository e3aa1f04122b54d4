package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.toUnitInterval
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.admission.AdmissionCandidate
import io.kumquatmill.traffic.admission.CapacityAdmission
import io.kumquatmill.traffic.model.TrafficRoute
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

    private class CachedRanking(
        val workersVersion: Long,
        val ranking: WorkerRanking,
    )

    private val ownRegion: RegionId? = regionByZone[ownZone]
    private val maxRoundTripMs = if (regionByZone.values.any { it != ownRegion }) settings.crossRegionRoundTripMs else 0.0
    private val serviceTimes = ServiceTimes()
    private val regionWeights = RegionWeights(settings.ownRegionPreference)
    private val rankings = HashMap<UpstreamId, CachedRanking>()

    /** Returns the worker for [query], or the reason why there is none. */
    fun choose(
        nowMs: Long,
        query: PlacementQuery,
    ): PlacementChoice {
        val best = best(nowMs, query, isToldLeaving = false) ?: best(nowMs, query, isToldLeaving = true)
        if (best != null) return PlacementChoice.Chosen(best.worker, best.waitMs, best.serviceMs)
        val eligible = workers.workersOf(query.upstream).filter { isEligible(it, query) }
        val available = eligible.filter { isAvailable(nowMs, it, query) }
        return when {
            eligible.isEmpty() -> PlacementChoice.NoWorker
            available.isEmpty() -> PlacementChoice.NoCapacity(unavailableMs(nowMs, query, eligible))
            else -> noCapacity(nowMs, query, available)
        }
    }

    /** Returns the best of the workers that peers have reported to leave if [isToldLeaving], or else of the others. */
    private fun best(
        nowMs: Long,
        query: PlacementQuery,
        isToldLeaving: Boolean,
    ): Candidate? {
        var best: Candidate? = null
        ranked(nowMs, query, isToldLeaving).forEachIndexed { rank, worker ->
            val candidate = candidate(nowMs, query, worker, rank)
            val isPossible = candidate.acceptsKey && isInTime(query, candidate)
            if (isPossible && best.let { it == null || candidate.costMs < it.costMs }) best = candidate
        }
        return best
    }

    /**
     * Returns all workers of the upstream of [query], the most preferred first and those in evacuated zones last, each with the reason why
     * [choose] does not consider it. Of a request without an attempt so far.
     */
    internal fun preview(
        nowMs: Long,
        query: PlacementQuery,
    ): List<PreviewedWorker> {
        val inUse = workers.workersOf(query.upstream)
        val ranked = ranking(query.upstream).first(query.affinityHash, inUse.size, isShared = false) { true }
        val usesToldLeaving = best(nowMs, query, isToldLeaving = false) == null
        val availableBefore = HashMap<Boolean, Int>()
        val previewed =
            ranked.map { worker ->
                val isToldLeaving = workers.isToldLeaving(nowMs, worker)
                val rank = availableBefore[isToldLeaving] ?: 0
                val unavailable = ineligibility(worker, query) ?: worker.obstacle(nowMs)
                if (unavailable == null) availableBefore[isToldLeaving] = rank + 1
                val candidate = candidate(nowMs, query, worker, rank)
                val obstacle =
                    when {
                        unavailable != null -> unavailable
                        isToldLeaving && !usesToldLeaving -> WorkerObstacle.REPORTED_LEAVING
                        rank >= settings.maxCandidates -> WorkerObstacle.NOT_PREFERRED
                        !candidate.acceptsKey -> WorkerObstacle.KEY_NOT_CACHED
                        !isInTime(query, candidate) -> WorkerObstacle.WAIT_TOO_LONG
                        else -> null
                    }
                PreviewedWorker(worker, candidate.waitMs, candidate.serviceMs, obstacle)
            }
        val evacuated =
            workers.evacuatedWorkersOf(query.upstream).sortedBy { it.entry.id.value }.map { worker ->
                val candidate = candidate(nowMs, query, worker, rank = ranked.size)
                PreviewedWorker(worker, candidate.waitMs, candidate.serviceMs, WorkerObstacle.EVACUATED)
            }
        return previewed + evacuated
    }

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
        val usualMs = if (route.hasAffinity) serviceMs else worker.reportedSpeed.usualMs(nowMs, serviceMs, expectedMs)
        worker.onAnswered(nowMs, if (isComparable) usualMs / expectedMs else null, usualMs)
        if (isComparable && usualMs < expectedMs * OUTLIER_FACTOR) serviceTimes.observe(route, wasCached, usualMs)
    }

    /** Records that [worker] had not answered a request of [route] after [durationMs] milliseconds. */
    fun onTimedOut(
        nowMs: Long,
        route: TrafficRoute,
        worker: TrackedWorker,
        wasCached: Boolean,
        durationMs: Double,
    ) = worker.onTimedOut(nowMs, durationMs / serviceTimes.expectedMs(route, wasCached))

    private fun isAvailable(
        nowMs: Long,
        worker: TrackedWorker,
        query: PlacementQuery,
    ): Boolean = worker.entry.id !in query.triedWorkers && worker.isAvailable(nowMs)

    private fun isEligible(
        worker: TrackedWorker,
        query: PlacementQuery,
    ): Boolean = ineligibility(worker, query) == null

    private fun ineligibility(
        worker: TrackedWorker,
        query: PlacementQuery,
    ): WorkerObstacle? =
        when {
            worker.isLeaving -> WorkerObstacle.DRAINING
            query.homeRegions != null && regionOf(worker) !in query.homeRegions -> WorkerObstacle.HOME_REGION
            else -> null
        }

    private fun candidate(
        nowMs: Long,
        query: PlacementQuery,
        worker: TrackedWorker,
        rank: Int,
    ): Candidate {
        val isCached = query.hasAffinityKey && (rank == 0 || worker.hasCached(query.affinityHash))
        val coldFactor = if (worker.isCold(nowMs)) settings.coldWorkerFactor else 1.0
        // For requests with a key the difference between cached and uncached objects outweighs that of the reported speeds.
        val usesReport = !query.hasAffinityKey
        val waitMs = worker.expectedWaitMs(nowMs, usesReport)
        val slowdown = worker.slowdown(nowMs, if (usesReport) nowMs + waitMs.toLong() else null)
        val serviceMs = serviceTimes.expectedMs(query.route, isCached) * coldFactor * slowdown + roundTripMs(worker)
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

    /** Returns the workers that the affinity key prefers among the available ones, most preferred first. */
    private fun ranked(
        nowMs: Long,
        query: PlacementQuery,
        isToldLeaving: Boolean,
    ): List<TrackedWorker> =
        ranking(query.upstream).first(query.affinityHash, settings.maxCandidates, isShared = query.hasAffinityKey && !query.isPreview) {
            workers.isToldLeaving(nowMs, it) == isToldLeaving && isEligible(it, query) && isAvailable(nowMs, it, query)
        }

    /** Returns the ranking of the workers of [upstream]; most new states change none of them, so that it stays as it is. */
    private fun ranking(upstream: UpstreamId): WorkerRanking {
        val cached = rankings[upstream]
        if (cached != null && cached.workersVersion == workers.version) return cached.ranking
        val current = workers.workersOf(upstream)
        val byRegion = slotWeights(current)
        val weightOf = { worker: TrackedWorker -> worker.entry.slots * (regionOf(worker)?.let { byRegion[it] } ?: 1.0) }
        val ranking = cached?.ranking?.takeIf { it.isOf(current, weightOf) } ?: WorkerRanking(current, weightOf)
        rankings[upstream] = CachedRanking(workers.version, ranking)
        return ranking
    }

    /** Returns the weight of a slot in each region, assuming that the callers of all zones cause the same demand. */
    private fun slotWeights(upstreamWorkers: List<TrackedWorker>): Map<RegionId, Double> {
        val callerRegion = ownRegion ?: return emptyMap()
        val slots = HashMap<RegionId, Double>()
        upstreamWorkers.forEach { worker ->
            regionOf(worker)?.let { slots.merge(it, worker.entry.slots.toDouble(), Double::plus) }
        }
        val demand =
            regionByZone.values
                .groupingBy { it }
                .eachCount()
                .mapValues { (_, count) -> count.toDouble() }
        return regionWeights.slotWeights(callerRegion, slots, demand)
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
    }
}
