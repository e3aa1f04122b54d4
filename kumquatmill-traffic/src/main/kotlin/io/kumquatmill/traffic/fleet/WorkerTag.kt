package io.kumquatmill.traffic.fleet

import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.WorkerLifetime
import io.kumquatmill.traffic.model.lifetime

/** Short form of the identity of a worker process in reports between hosts; a worker that starts again under its id gets another one. */
@JvmInline
value class WorkerTag(
    val value: Int,
) {
    companion object {
        /** Returns the tag of the process of [entry]: the low 32 bits of the hash of its id and start time. */
        fun of(entry: WorkerEntry): WorkerTag = of(entry.lifetime)

        /** Returns the tag of the process with [lifetime]. */
        fun of(lifetime: WorkerLifetime): WorkerTag = WorkerTag(stableHash("${lifetime.id.value}/${lifetime.startedAtMs}").toInt())
    }
}
