package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.math.ceil

/**
 * Bounded queue that shares slots fairly between workspaces.
 *
 * Each workspace waits behind its own requests only. Workspaces are scheduled by weighted deficit round robin: a workspace that
 * demands less than its share gets all that it asks for, and the rest is divided by weight. A workspace that has stayed within
 * its share is served first while its saved credit lasts. Requests that can't meet their deadline are refused as soon as this is
 * known, both on arrival and while they wait. Use one queue per group of workers that share their slots. The cost of a call does
 * not grow with the number of workspaces, and workspaces without recent waiting requests take no memory.
 */
class FairQueue(
    private val settings: FairQueueSettings = FairQueueSettings(),
) {
    private val entries = HashMap<RequestId, QueueEntry>()
    private val queues = HashMap<WorkspaceId, WorkspaceQueue>()
    private val scheduler = DeficitRoundRobinScheduler(settings.maxSavedCredit)
    private val timingWheel = TimingWheel()
    private val dispatchInterval = DispatchIntervalEstimator()
    private val requestCost = RequestCostEstimator()
    private var activeWeight = 0

    /** Number of waiting requests. */
    val size: Int
        get() = entries.size

    /** Number of workspaces held in memory: those with waiting requests, and those whose saved credit is still kept. */
    val workspaceCount: Int
        get() = queues.size + scheduler.idleCount

    /** Returns the number of waiting requests of [workspace]. */
    fun sizeOf(workspace: WorkspaceId): Int = queues[workspace]?.size ?: 0

    /** Queues [request], or refuses it if the queue is full or the request would miss its deadline. */
    fun offer(
        nowMs: Long,
        request: QueuedRequest,
    ): QueueOfferResult {
        val waitMs = expectedWaitMs(nowMs, request)
        if (nowMs + waitMs > request.latestStartAtMs) return refuse(RefusalReason.NO_CAPACITY, waitMs)
        if (size >= settings.maxTotal || sizeOf(request.workspace) >= settings.maxPerWorkspace) {
            return refuse(RefusalReason.QUEUE_FULL, waitMs)
        }
        if (entries.isEmpty()) dispatchInterval.onSlotsAvailable()
        enqueue(nowMs, QueueEntry(request))
        return QueueOfferResult.Queued(waitMs)
    }

    /**
     * Passes waiting requests to [tryDispatch] in fair order, until it returns [DispatchStatus.NO_SLOTS] or none is left.
     *
     * Skipped workspaces keep their position. Returns the requests that expired instead.
     */
    fun dispatch(
        nowMs: Long,
        tryDispatch: (QueuedRequest) -> DispatchStatus,
    ): List<ExpiredRequest> {
        val expired = expire(nowMs)
        var hasSlots = true
        while (hasSlots) {
            val queue = scheduler.next() ?: break
            val entry = queue.head()
            when (tryDispatch(entry.request)) {
                DispatchStatus.DISPATCHED -> completeDispatch(nowMs, entry)
                DispatchStatus.SKIP_WORKSPACE -> scheduler.skip(queue)
                DispatchStatus.NO_SLOTS -> hasSlots = false
            }
        }
        scheduler.restoreSkipped()
        if (hasSlots) dispatchInterval.onSlotsAvailable() else dispatchInterval.onSlotsExhausted(nowMs)
        return expired
    }

    /** Removes and returns the requests that can no longer meet their deadline. Call it on every tick. */
    fun expire(nowMs: Long): List<ExpiredRequest> {
        if (entries.isEmpty()) return emptyList()
        var expired: MutableList<ExpiredRequest>? = null
        timingWheel.expire(nowMs) { entry ->
            remove(entry)
            val list = expired ?: ArrayList<ExpiredRequest>().also { expired = it }
            list += ExpiredRequest(entry.request, Outcome.NotRun(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs))
        }
        return expired ?: emptyList()
    }

    /** Removes the request [id] and returns whether it was waiting. */
    fun cancel(id: RequestId): Boolean {
        val entry = entries[id] ?: return false
        remove(entry)
        return true
    }

    private fun expectedWaitMs(
        nowMs: Long,
        request: QueuedRequest,
    ): Long {
        if (entries.isEmpty()) return 0
        val own = queues[request.workspace]
        val ownSize = own?.size ?: 0
        val otherWeight = activeWeight - (own?.weight ?: 0)
        val ownCost = ownSize * requestCost.of(request.serviceMs)
        val expectedDispatchesBefore = 1.0 + ownCost * (otherWeight + request.weight) / request.weight
        return ceil(expectedDispatchesBefore * dispatchInterval.expectedIntervalMs(nowMs)).toLong()
    }

    private fun refuse(
        reason: RefusalReason,
        waitMs: Long,
    ): QueueOfferResult.Refused = QueueOfferResult.Refused(Outcome.NotRun(reason, maxOf(waitMs, settings.retryAfterMs)))

    private fun enqueue(
        nowMs: Long,
        entry: QueueEntry,
    ) {
        val queue = queues.getOrPut(entry.request.workspace) { scheduler.activate(entry.request.workspace, entry.request.weight) }
        activeWeight -= queue.activeWeight()
        queue.add(entry)
        activeWeight += queue.activeWeight()
        entries[entry.request.id] = entry
        timingWheel.add(nowMs, entry)
    }

    private fun remove(entry: QueueEntry) {
        val queue = queues.getValue(entry.request.workspace)
        activeWeight -= queue.activeWeight()
        queue.remove(entry)
        activeWeight += queue.activeWeight()
        entries.remove(entry.request.id)
        timingWheel.remove(entry)
        if (queue.isEmpty) {
            queues.remove(queue.workspace)
            scheduler.deactivate(queue)
        }
    }

    private fun completeDispatch(
        nowMs: Long,
        entry: QueueEntry,
    ) {
        val serviceMs = entry.request.serviceMs
        scheduler.charge(queues.getValue(entry.request.workspace), requestCost.of(serviceMs), activeWeight)
        remove(entry)
        requestCost.record(serviceMs)
        dispatchInterval.onDispatched(nowMs)
    }

    private fun WorkspaceQueue.activeWeight(): Int = if (isEmpty) 0 else weight
}
