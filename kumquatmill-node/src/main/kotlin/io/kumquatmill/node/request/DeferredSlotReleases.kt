package io.kumquatmill.node.request

import io.kumquatmill.common.id.WorkerId
import java.util.PriorityQueue

/** Keeps the slots of attempts whose end was not observed occupied until the worker must have ended them. */
internal class DeferredSlotReleases(
    private val releaseSlot: (nowMs: Long, worker: WorkerId) -> Unit,
) {
    private val releases = PriorityQueue(compareBy<DeferredSlotRelease> { it.dueAtMs })

    fun schedule(
        worker: WorkerId,
        dueAtMs: Long,
    ) {
        releases += DeferredSlotRelease(worker, dueAtMs)
    }

    /** Releases the slots that are due at [nowMs]. */
    fun releaseDue(nowMs: Long) {
        while (true) {
            val release = releases.peek()?.takeIf { it.dueAtMs <= nowMs } ?: return
            releases.remove()
            releaseSlot(nowMs, release.worker)
        }
    }
}

private class DeferredSlotRelease(
    val worker: WorkerId,
    val dueAtMs: Long,
)
