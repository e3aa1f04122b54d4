package io.kumquatmill.bench.overload

/**
 * Capacity of a worker.
 *
 * @property slots maximum number of requests that it executes concurrently
 * @property queueCapacity maximum number of requests that wait for a slot; further ones are rejected
 * @property warmObjectCapacity number of objects that it keeps warm, by least recent use
 * @property warmSavingFraction fraction of the service time that a warm object saves
 */
internal data class WorkerProfile(
    val slots: Int,
    val queueCapacity: Int,
    val warmObjectCapacity: Int,
    val warmSavingFraction: Double = 0.7,
)
