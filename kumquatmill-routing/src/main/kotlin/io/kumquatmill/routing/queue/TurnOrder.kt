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
    private val savers = LinkedHashSet<WorkspaceQueue>()
    private val round = LinkedHashSet<WorkspaceQueue>()
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

    /** Notes that [queue] has become empty; it drops out of the order when its turn comes. */
    fun deactivate(queue: WorkspaceQueue) {
        savers.remove(queue)
        round.remove(queue)
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
        if (savers.remove(queue)) placeLast(queue)
    }

    /** Returns the workspace whose turn it is. */
    fun present(): WorkspaceQueue {
        savers.firstOrNull()?.let { return it }
        while (true) {
            val queue = round.first()
            if (queue.credit > 0.0) return queue
            queue.credit += queue.weight
            round.remove(queue)
            round.add(queue)
        }
    }

    private fun placeLast(queue: WorkspaceQueue) {
        if (queue.credit > 0.0) savers.add(queue) else round.add(queue)
    }

    private fun forgetIdle() {
        val eldest = idle.values.iterator()
        while (eldest.hasNext() && turn - eldest.next().emptiedAtTurn >= maxSavedTurns) {
            eldest.remove()
        }
    }
}
