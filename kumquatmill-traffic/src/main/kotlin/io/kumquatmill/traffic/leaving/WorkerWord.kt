package io.kumquatmill.traffic.leaving

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.model.WorkerEntry

/**
 * What the head of an answer says about the worker at the other end of its connection, whichever request the answer is to.
 *
 * @property isLeaving whether the worker says that it leaves
 * @property isMisdirected whether the answer says that the expected worker is not the one that answers
 * @property worker id by which the answer names its worker, or null if it names none
 */
data class WorkerWord(
    val isLeaving: Boolean,
    val isMisdirected: Boolean = false,
    val worker: WorkerId? = null,
) {
    /**
     * Returns the entry of the worker that this word is about, or null if it is not known.
     *
     * @param expected worker to which the request was sent
     * @param entries current entries
     */
    internal fun subject(
        expected: WorkerEntry,
        entries: Map<WorkerId, WorkerEntry>,
    ): WorkerEntry? =
        when {
            worker == expected.id -> expected
            worker != null -> entries[worker]?.takeIf { it.address == expected.address }
            isMisdirected -> null
            else -> expected
        }
}
