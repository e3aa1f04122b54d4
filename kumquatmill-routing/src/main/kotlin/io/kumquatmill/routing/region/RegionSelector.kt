package io.kumquatmill.routing.region

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.shift.ShiftLimiters
import io.kumquatmill.routing.worker.WorkerChoice
import io.kumquatmill.routing.worker.WorkerQuery
import io.kumquatmill.routing.worker.WorkerSelector

/**
 * Selects the region and the worker for a request: the region of its caller first, and others as far as links and shift caps allow.
 *
 * The other regions are tried in this order: that of the entry host, then those that it has a link to, by decreasing link capacity.
 *
 * After a shift, the shift cap also limits how fast the traffic returns. Until all of it has returned, some requests are still
 * served in the region that took them over.
 */
class RegionSelector(
    private val entryRegion: RegionId,
    private val entryZone: AvailabilityZoneId,
    links: Collection<Link>,
    private val pool: WorkerPool,
    private val workerSelector: WorkerSelector,
    private val shiftLimiters: ShiftLimiters,
) {
    private val linkedRegions: List<RegionId> = regionsByLinkCapacity(links)

    /** Selects a worker and acquires what the request needs from [resources], or returns the reason why that is not possible. */
    fun select(
        nowMs: Long,
        query: RegionQuery,
        resources: DispatchResources,
    ): RegionChoice {
        val origin = query.origin ?: entryRegion
        if (!query.isRepeated) shiftLimiters.recordRequest(nowMs, origin)
        val search = SearchContext(nowMs, query, origin, resources)
        val shiftTarget = shiftLimiters.requiredShiftTarget(nowMs, origin)
        return if (shiftTarget == null) searchAllRegions(search) else searchShifted(search, shiftTarget)
    }

    private fun searchAllRegions(search: SearchContext): RegionChoice {
        tryRegion(search, search.origin)?.let { return it }
        for (region in fallbackRegions(search)) {
            tryRegion(search, region)?.let { return it }
        }
        return search.refusal(shiftLimiters.retryAfterMs)
    }

    private fun searchShifted(
        search: SearchContext,
        shiftTarget: RegionId,
    ): RegionChoice {
        tryRegion(search, shiftTarget)?.let { return it }
        for (region in fallbackRegions(search)) {
            if (region != shiftTarget) tryRegion(search, region)?.let { return it }
        }
        shiftLimiters.limiter(search.origin, shiftTarget).recordRejectedReturn(search.nowMs)
        return RegionChoice.Refused(RefusalReason.SHIFT_CAPPED, shiftLimiters.retryAfterMs)
    }

    private fun fallbackRegions(search: SearchContext): List<RegionId> {
        val upstreamRegions = pool.regionsOf(search.query.upstream)
        val reachable = listOf(entryRegion) + linkedRegions
        return reachable.filter { it != search.origin && it in upstreamRegions }
    }

    private fun tryRegion(
        search: SearchContext,
        region: RegionId,
    ): RegionChoice.Chosen? {
        val isShifted = region != search.origin
        val shiftLimiter = if (isShifted) shiftLimiters.limiter(search.origin, region) else null
        if (shiftLimiter?.isShiftAllowed(search.nowMs) == false) {
            search.isShiftCapped = true
            return null
        }
        val workerQuery = WorkerQuery(search.query.upstream, region, entryZone, search.query.excludedWorkers)
        val choice = workerSelector.select(search.nowMs, workerQuery, search.resources.tryAcquireSlot)
        if (choice !is WorkerChoice.Chosen) return null
        if (!reserveLink(search, region)) {
            search.resources.releaseSlot(choice.worker.id)
            search.isLinkFull = true
            return null
        }
        shiftLimiter?.recordShift(search.nowMs)
        return RegionChoice.Chosen(choice.worker, isShifted)
    }

    private fun reserveLink(
        search: SearchContext,
        region: RegionId,
    ): Boolean {
        if (region == entryRegion) return true
        if (region !in linkedRegions) return false
        return search.resources.tryReserveLink(LinkReservation(entryRegion, region, search.query.requestBytes, search.query.responseBytes))
    }

    private fun regionsByLinkCapacity(links: Collection<Link>): List<RegionId> =
        links
            .filter { it.from == entryRegion || it.to == entryRegion }
            .sortedWith(compareByDescending<Link> { it.megabitsPerS }.thenBy { it.from }.thenBy { it.to })
            .map { if (it.from == entryRegion) it.to else it.from }
            .distinct()

    private class SearchContext(
        val nowMs: Long,
        val query: RegionQuery,
        val origin: RegionId,
        val resources: DispatchResources,
    ) {
        var isShiftCapped = false
        var isLinkFull = false

        fun refusal(shiftRetryAfterMs: Long): RegionChoice.Refused =
            when {
                isShiftCapped -> RegionChoice.Refused(RefusalReason.SHIFT_CAPPED, shiftRetryAfterMs)
                isLinkFull -> RegionChoice.Refused(RefusalReason.LINK_FULL, RETRY_AFTER_MS)
                else -> RegionChoice.Refused(RefusalReason.NO_CAPACITY, RETRY_AFTER_MS)
            }
    }

    private companion object {
        const val RETRY_AFTER_MS = 500L
    }
}
