package io.kumquatmill.traffic.placement

/**
 * A worker as [Placement] sees it for one request.
 *
 * @property waitMs expected time in the worker's queue in milliseconds
 * @property serviceMs expected service time including the network in milliseconds
 * @property obstacle why the worker does not get the request, or null if it may
 */
class PreviewedWorker internal constructor(
    val worker: TrackedWorker,
    val waitMs: Double,
    val serviceMs: Double,
    val obstacle: WorkerObstacle?,
)
