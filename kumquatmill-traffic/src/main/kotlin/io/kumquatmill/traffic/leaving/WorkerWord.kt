package io.kumquatmill.traffic.leaving

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.pause.StatedPause

/**
 * What the head of an answer says about the worker at the other end of its connection.
 *
 * @property isLeaving whether the worker says that it leaves
 * @property isMisdirected whether the answer says that the expected worker is not the one that answers
 * @property pause time for which the worker wants no requests from this host
 * @property worker id by which the answer names its worker, or null if it names none
 */
data class WorkerWord(
    val isLeaving: Boolean,
    val isMisdirected: Boolean = false,
    val worker: WorkerId? = null,
    val pause: StatedPause = StatedPause.None,
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
