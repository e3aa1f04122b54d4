package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.WorkerId

/**
 * One start of a worker. Another start is another lifetime, also under the same id or at the same address.
 *
 * @property startedAtMs Unix time of the start in milliseconds
 */
data class WorkerLifetime(
    val id: WorkerId,
    val startedAtMs: Long,
)

/** Lifetime of the worker that wrote this entry. */
val WorkerEntry.lifetime: WorkerLifetime
    get() = WorkerLifetime(id, startedAtMs)
