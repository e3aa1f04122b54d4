package io.kumquatmill.settings

/**
 * Limits of the request queues and of the ring buffers between threads.
 *
 * @property maxPerWorkspace maximum number of queued requests per workspace.
 * @property rateWaitMs maximum time for which a request waits for its workspace's rate.
 * @property ringCapacity capacity of each ring buffer for requests and results.
 * @property peerRingCapacity capacity of the ring buffer for messages from peers.
 */
data class QueueSettings(
    val maxPerWorkspace: Int,
    val rateWaitMs: Long,
    val ringCapacity: Int,
    val peerRingCapacity: Int,
)
