package io.kumquatmill.routing.region

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.shift.ShiftRamps
import io.kumquatmill.routing.worker.WorkerChoice
import io.kumquatmill.routing.worker.WorkerQuery
import io.kumquatmill.routing.worker.WorkerSelector

/**
 * Chooses the region and worker of a request: its own region first, others only as far as links and shift caps allow.
 *
 * After a shift the traffic returns in steps of the cap as well; until then a part of the requests stays with the region
 * that took them over.
 */
class RegionChooser(
    private val entryRegion: RegionId,
    private val entryZone: AvailabilityZoneId,
    links: Collection<Link>,
    private val pool: WorkerPool,
    private val selector: WorkerSelector,
    private val ramps: ShiftRamps,
) {
    private val linkedRegions: List<RegionId> = nearestFirst(links)

    /** Takes what the request needs from [grants] and returns its worker, or says precisely why there is none. */
    fun choose(
        nowMs: Long,
        query: RegionQuery,
        grants: DispatchGrants,
    ): RegionChoice {
        val origin = query.origin ?: entryRegion
        if (!query.isRetry) ramps.requested(nowMs, origin)
        val search = Search(nowMs, query, origin, grants)
        val holder = ramps.holder(nowMs, origin)
        return if (holder == null) searchAll(search) else searchHeld(search, holder)
    }

    private fun searchAll(search: Search): RegionChoice {
        tryRegion(search, search.origin)?.let { return it }
        for (region in shiftTargets(search)) {
            tryRegion(search, region)?.let { return it }
        }
        return search.refusal(ramps.retryAfterMs)
    }

    private fun searchHeld(
        search: Search,
        holder: RegionId,
    ): RegionChoice {
        tryRegion(search, holder)?.let { return it }
        for (region in shiftTargets(search)) {
            if (region != holder) tryRegion(search, region)?.let { return it }
        }
        ramps.ramp(search.origin, holder).returnRefused(search.nowMs)
        return RegionChoice.Refused(RefusalReason.SHIFT_CAPPED, ramps.retryAfterMs)
    }

    private fun shiftTargets(search: Search): List<RegionId> {
        val upstreamRegions = pool.regionsOf(search.query.upstream)
        val reachable = listOf(entryRegion) + linkedRegions
        return reachable.filter { it != search.origin && it in upstreamRegions }
    }

    private fun tryRegion(
        search: Search,
        region: RegionId,
    ): RegionChoice.Chosen? {
        val isShifted = region != search.origin
        val ramp = if (isShifted) ramps.ramp(search.origin, region) else null
        if (ramp?.hasRoom(search.nowMs) == false) {
            search.isShiftCapped = true
            return null
        }
        val workerQuery = WorkerQuery(search.query.upstream, region, entryZone, search.query.excluded)
        val choice = selector.select(search.nowMs, workerQuery, search.grants.trySlot)
        if (choice !is WorkerChoice.Chosen) return null
        if (!takeLink(search, region)) {
            search.grants.releaseSlot(choice.worker.id)
            search.isLinkFull = true
            return null
        }
        ramp?.moved(search.nowMs)
        return RegionChoice.Chosen(choice.worker, isShifted)
    }

    private fun takeLink(
        search: Search,
        region: RegionId,
    ): Boolean {
        if (region == entryRegion) return true
        if (region !in linkedRegions) return false
        return search.grants.tryLink(LinkUse(entryRegion, region, search.query.requestBytes, search.query.answerBytes))
    }

    private fun nearestFirst(links: Collection<Link>): List<RegionId> =
        links
            .filter { it.from == entryRegion || it.to == entryRegion }
            .sortedWith(compareByDescending<Link> { it.megabitsPerS }.thenBy { it.from }.thenBy { it.to })
            .map { if (it.from == entryRegion) it.to else it.from }
            .distinct()

    private class Search(
        val nowMs: Long,
        val query: RegionQuery,
        val origin: RegionId,
        val grants: DispatchGrants,
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
