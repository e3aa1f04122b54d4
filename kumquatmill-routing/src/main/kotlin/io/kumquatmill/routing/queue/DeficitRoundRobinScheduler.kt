package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.WorkspaceId

/**
 * Schedules the workspaces that have waiting requests by weighted deficit round robin.
 *
 * A workspace without waiting requests accrues credit, up to [maxSavedCredit] per unit of weight. Once it has waiting requests
 * again, it spends that credit first, ahead of the round robin, so that a workspace that stays within its share is hardly
 * affected by those that exceed theirs.
 */
internal class DeficitRoundRobinScheduler(
    private val maxSavedCredit: Double,
) {
    private val idleQueues = LinkedHashMap<WorkspaceId, WorkspaceQueue>()
    private val queuesWithCredit = WorkspaceQueueList()
    private val roundRobinQueues = WorkspaceQueueList()
    private val skipped = ArrayList<Pair<WorkspaceQueueList, WorkspaceQueue>>()
    private var virtualTime = 0.0

    /** Number of workspaces without waiting requests whose saved credit is kept. */
    val idleCount: Int
        get() = idleQueues.size

    /** Schedules [workspace], which gets its first waiting request, and returns its queue with the saved credit. */
    fun activate(
        workspace: WorkspaceId,
        weight: Int,
    ): WorkspaceQueue {
        val idle = idleQueues.remove(workspace)
        val queue = idle ?: WorkspaceQueue(workspace)
        val saved = if (idle == null) maxSavedCredit * weight else idle.credit + (virtualTime - idle.emptiedAtVirtualTime) * weight
        queue.credit = saved.coerceAtMost(maxSavedCredit * weight)
        append(queue)
        return queue
    }

    /** Removes [queue], which has become empty, from the schedule. */
    fun deactivate(queue: WorkspaceQueue) {
        queue.list?.remove(queue)
        queue.emptiedAtVirtualTime = virtualTime
        idleQueues[queue.workspace] = queue
    }

    /** Charges [queue], the one returned by [next], for a request. [activeWeight] is the total weight of all waiting workspaces. */
    fun charge(
        queue: WorkspaceQueue,
        cost: Double,
        activeWeight: Int,
    ) {
        virtualTime += cost / activeWeight
        queue.credit -= cost
        evictIdle()
        if (queue.list !== queuesWithCredit) return
        queuesWithCredit.remove(queue)
        append(queue)
    }

    /** Returns the queue to be served next, or null if none is waiting. */
    fun next(): WorkspaceQueue? {
        queuesWithCredit.firstOrNull()?.let { return it }
        while (true) {
            val queue = roundRobinQueues.firstOrNull() ?: return null
            if (queue.credit > 0.0) return queue
            queue.credit += queue.weight
            roundRobinQueues.remove(queue)
            roundRobinQueues.addLast(queue)
        }
    }

    /** Excludes [queue], the one returned by [next], until [restoreSkipped] is called. */
    fun skip(queue: WorkspaceQueue) {
        val list = queue.list ?: return
        list.remove(queue)
        skipped += list to queue
    }

    /** Puts the skipped queues back at their previous positions. */
    fun restoreSkipped() {
        for (index in skipped.indices.reversed()) {
            val (list, queue) = skipped[index]
            if (queue.list == null && !queue.isEmpty) list.addFirst(queue)
        }
        skipped.clear()
    }

    private fun append(queue: WorkspaceQueue) {
        val list = if (queue.credit > 0.0) queuesWithCredit else roundRobinQueues
        list.addLast(queue)
    }

    private fun evictIdle() {
        val eldest = idleQueues.values.iterator()
        while (eldest.hasNext() && virtualTime - eldest.next().emptiedAtVirtualTime >= maxSavedCredit) {
            eldest.remove()
        }
    }
}
