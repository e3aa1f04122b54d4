package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.WorkspaceId

/**
 * Gives turns to the workspaces that have waiting requests, by weighted deficit round robin.
 *
 * A workspace saves up to [maxSavedTurns] turns while it does not wait. When it waits again it uses these first, ahead
 * of the round, so that one that keeps within its share hardly notices those that do not.
 */
internal class TurnOrder(
    private val maxSavedTurns: Double,
) {
    private val idle = LinkedHashMap<WorkspaceId, WorkspaceQueue>()
    private val savers = TurnList()
    private val round = TurnList()
    private val passedOver = ArrayList<Pair<TurnList, WorkspaceQueue>>()
    private var turn = 0.0

    /** Number of workspaces whose saved turns are remembered. */
    val idleCount: Int
        get() = idle.size

    /** Returns the queue of [workspace], which begins to wait, with the turns that it has saved. */
    fun activate(
        workspace: WorkspaceId,
        weight: Int,
    ): WorkspaceQueue {
        val known = idle.remove(workspace)
        val queue = known ?: WorkspaceQueue(workspace)
        val saved = if (known == null) maxSavedTurns * weight else known.credit + (turn - known.emptiedAtTurn) * weight
        queue.credit = saved.coerceAtMost(maxSavedTurns * weight)
        placeLast(queue)
        return queue
    }

    /** Takes [queue], which has become empty, out of the order. */
    fun deactivate(queue: WorkspaceQueue) {
        queue.list?.remove(queue)
        queue.emptiedAtTurn = turn
        idle[queue.workspace] = queue
    }

    /** Charges [queue], which is the present one, for a request; [activeWeight] is the weight of all that wait. */
    fun charge(
        queue: WorkspaceQueue,
        cost: Double,
        activeWeight: Int,
    ) {
        turn += cost / activeWeight
        queue.credit -= cost
        forgetIdle()
        if (queue.list !== savers) return
        savers.remove(queue)
        placeLast(queue)
    }

    /** Returns the workspace whose turn it is, or null if none waits. */
    fun present(): WorkspaceQueue? {
        savers.firstOrNull()?.let { return it }
        while (true) {
            val queue = round.firstOrNull() ?: return null
            if (queue.credit > 0.0) return queue
            queue.credit += queue.weight
            round.remove(queue)
            round.addLast(queue)
        }
    }

    /** Leaves out [queue], which is the present one, until [endPassingOver]. */
    fun passOver(queue: WorkspaceQueue) {
        val list = queue.list ?: return
        list.remove(queue)
        passedOver += list to queue
    }

    /** Gives the workspaces that were passed over their places back. */
    fun endPassingOver() {
        for (index in passedOver.indices.reversed()) {
            val (list, queue) = passedOver[index]
            if (queue.list == null && !queue.isEmpty) list.addFirst(queue)
        }
        passedOver.clear()
    }

    private fun placeLast(queue: WorkspaceQueue) {
        val list = if (queue.credit > 0.0) savers else round
        list.addLast(queue)
    }

    private fun forgetIdle() {
        val eldest = idle.values.iterator()
        while (eldest.hasNext() && turn - eldest.next().emptiedAtTurn >= maxSavedTurns) {
            eldest.remove()
        }
    }
}
