package io.kumquatmill.settings

/** Bounds of what callers may send and of what the daemon holds for them. */
data class RequestLimits(
    val maxHeadBytes: Int,
    val maxBodyBytes: Long,
    val maxAnswerBytes: Long,
    val maxHeldBytes: Long,
    val maxConnections: Int,
    val maxRequestsInFlight: Int,
    val headTimeoutMs: Long,
    val bodyTimeoutMs: Long,
    val idleTimeoutMs: Long,
    val stopTimeoutMs: Long,
)
