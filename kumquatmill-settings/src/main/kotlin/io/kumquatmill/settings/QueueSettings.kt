package io.kumquatmill.settings

/** Bounds of the queues of each workspace and of the rings between threads. */
data class QueueSettings(
    val maxPerWorkspace: Int,
    val rateWaitMs: Long,
    val ringCapacity: Int,
    val peerRingCapacity: Int,
)
