package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.math.ceil

/**
 * Bounded queue in which each workspace waits behind its own requests only.
 *
 * Workspaces take turns by weighted deficit round robin, so that those who ask for less than their share get all of it
 * and the rest is split by weight; one that kept within its share goes ahead with the turns it saved. Requests that
 * can't meet their deadline are refused at once, when they enter and later. Use one queue for each group of workers that
 * share their slots. The cost of a call does not grow with the number of workspaces, and workspaces that have not waited
 * for a while take no memory.
 */
class FairQueue(
    private val settings: QueueSettings = QueueSettings(),
) {
    private val entries = HashMap<RequestId, QueueEntry>()
    private val queues = HashMap<WorkspaceId, WorkspaceQueue>()
    private val order = TurnOrder(settings.maxSavedTurns)
    private val wheel = DeadlineWheel()
    private val pace = DispatchPace()
    private val turnCost = TurnCost()
    private var activeWeight = 0

    /** Number of waiting requests. */
    val size: Int
        get() = entries.size

    /** Number of workspaces held in memory: those that wait or did so a few turns ago. */
    val workspaceCount: Int
        get() = queues.size + order.idleCount

    /** Returns the number of waiting requests of [workspace]. */
    fun sizeOf(workspace: WorkspaceId): Int = queues[workspace]?.size ?: 0

    /** Queues [request], or refuses it when the queue is full or the request would miss its deadline. */
    fun offer(
        nowMs: Long,
        request: QueuedRequest,
    ): QueueOffer {
        val waitMs = expectedWaitMs(nowMs, request)
        if (nowMs + waitMs > request.latestStartAtMs) return refuse(RefusalReason.NO_CAPACITY, waitMs)
        if (size >= settings.maxTotal || sizeOf(request.workspace) >= settings.maxPerWorkspace) {
            return refuse(RefusalReason.QUEUE_FULL, waitMs)
        }
        if (entries.isEmpty()) pace.slotsFree()
        enqueue(nowMs, QueueEntry(request))
        return QueueOffer.Queued(waitMs)
    }

    /**
     * Offers waiting requests to [tryDispatch] in their fair order until it says that there are no slots or none is left.
     *
     * Workspaces that it passes over keep their place. Returns the requests that were given up instead.
     */
    fun dispatch(
        nowMs: Long,
        tryDispatch: (QueuedRequest) -> DispatchStep,
    ): List<QueueRefusal> {
        val refused = expire(nowMs)
        var hasSlots = true
        while (hasSlots) {
            val queue = order.present() ?: break
            val entry = queue.head()
            when (tryDispatch(entry.request)) {
                DispatchStep.DISPATCHED -> settle(nowMs, entry)
                DispatchStep.PASS_OVER_WORKSPACE -> order.passOver(queue)
                DispatchStep.NO_SLOTS -> hasSlots = false
            }
        }
        order.endPassingOver()
        if (hasSlots) pace.slotsFree() else pace.slotsShort(nowMs)
        return refused
    }

    /** Gives up the requests that can't meet their deadline any more; call it at each tick. */
    fun expire(nowMs: Long): List<QueueRefusal> {
        if (entries.isEmpty()) return emptyList()
        var refused: MutableList<QueueRefusal>? = null
        wheel.expire(nowMs) { entry ->
            remove(entry)
            val list = refused ?: ArrayList<QueueRefusal>().also { refused = it }
            list += QueueRefusal(entry.request, Outcome.NotRun(RefusalReason.DEADLINE_EXCEEDED, settings.retryAfterMs))
        }
        return refused ?: emptyList()
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
        val othersWeight = activeWeight - (own?.weight ?: 0)
        val ownCost = ownSize * turnCost.of(request.serviceMs)
        val turnsBefore = 1.0 + ownCost * (othersWeight + request.weight) / request.weight
        return ceil(turnsBefore * pace.expectedIntervalMs(nowMs)).toLong()
    }

    private fun refuse(
        reason: RefusalReason,
        waitMs: Long,
    ): QueueOffer.Refused = QueueOffer.Refused(Outcome.NotRun(reason, maxOf(waitMs, settings.retryAfterMs)))

    private fun enqueue(
        nowMs: Long,
        entry: QueueEntry,
    ) {
        val queue = queues.getOrPut(entry.request.workspace) { order.activate(entry.request.workspace, entry.request.weight) }
        activeWeight -= queue.activeWeight()
        queue.add(entry)
        activeWeight += queue.activeWeight()
        entries[entry.request.id] = entry
        wheel.add(nowMs, entry)
    }

    private fun remove(entry: QueueEntry) {
        val queue = queues.getValue(entry.request.workspace)
        activeWeight -= queue.activeWeight()
        queue.remove(entry)
        activeWeight += queue.activeWeight()
        entries.remove(entry.request.id)
        wheel.remove(entry)
        if (queue.isEmpty) {
            queues.remove(queue.workspace)
            order.deactivate(queue)
        }
    }

    private fun settle(
        nowMs: Long,
        entry: QueueEntry,
    ) {
        val serviceMs = entry.request.serviceMs
        order.charge(queues.getValue(entry.request.workspace), turnCost.of(serviceMs), activeWeight)
        remove(entry)
        turnCost.record(serviceMs)
        pace.dispatched(nowMs)
    }

    private fun WorkspaceQueue.activeWeight(): Int = if (isEmpty) 0 else weight
}
