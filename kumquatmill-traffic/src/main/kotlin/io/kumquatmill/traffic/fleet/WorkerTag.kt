package io.kumquatmill.traffic.fleet

import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.traffic.model.WorkerEntry

/** Short form of the identity of a worker process in reports between hosts; a worker that starts again under its id gets another one. */
@JvmInline
value class WorkerTag(
    val value: Int,
) {
    companion object {
        /** Returns the tag of the process of [entry]: the low 32 bits of the hash of its id and start time. */
        fun of(entry: WorkerEntry): WorkerTag = WorkerTag(stableHash("${entry.id.value}/${entry.startedAtMs}").toInt())
    }
}
