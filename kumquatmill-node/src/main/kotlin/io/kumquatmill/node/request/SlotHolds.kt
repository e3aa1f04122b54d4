package io.kumquatmill.node.request

import io.kumquatmill.common.id.WorkerId
import java.util.PriorityQueue

/** Slots of attempts whose end at the worker is not known: they stay taken until the worker must have ended them. */
internal class SlotHolds(
    private val returnSlot: (nowMs: Long, worker: WorkerId) -> Unit,
) {
    private val holds = PriorityQueue(compareBy<SlotHold> { it.untilMs })

    fun hold(
        worker: WorkerId,
        untilMs: Long,
    ) {
        holds += SlotHold(worker, untilMs)
    }

    /** Returns the slots that are due at [nowMs]. */
    fun release(nowMs: Long) {
        while (true) {
            val hold = holds.peek()?.takeIf { it.untilMs <= nowMs } ?: return
            holds.remove()
            returnSlot(nowMs, hold.worker)
        }
    }
}

private class SlotHold(
    val worker: WorkerId,
    val untilMs: Long,
)
