package io.kumquatmill.wire

/** Bounds and times of a [PeerTransport]. */
data class PeerTransportSettings(
    val maxFrameBytes: Int = DEFAULT_MAX_FRAME_BYTES,
    val ringCapacity: Int = DEFAULT_RING_CAPACITY,
    val maxInboundConnections: Int = DEFAULT_MAX_INBOUND_CONNECTIONS,
    val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
    val heartbeatIntervalMs: Long = DEFAULT_HEARTBEAT_INTERVAL_MS,
    val silentMs: Long = DEFAULT_SILENT_MS,
    val reconnectMinMs: Long = DEFAULT_RECONNECT_MIN_MS,
    val reconnectMaxMs: Long = DEFAULT_RECONNECT_MAX_MS,
    val idlePeerMs: Long = DEFAULT_IDLE_PEER_MS,
    val maxMessageAgeMs: Long = DEFAULT_MAX_MESSAGE_AGE_MS,
) {
    companion object {
        const val DEFAULT_MAX_FRAME_BYTES: Int = 2 * 1024 * 1024
        const val DEFAULT_RING_CAPACITY: Int = 256
        const val DEFAULT_MAX_INBOUND_CONNECTIONS: Int = 1_024
        const val DEFAULT_CONNECT_TIMEOUT_MS: Long = 500
        const val DEFAULT_HEARTBEAT_INTERVAL_MS: Long = 1_000
        const val DEFAULT_SILENT_MS: Long = 3_000
        const val DEFAULT_RECONNECT_MIN_MS: Long = 50
        const val DEFAULT_RECONNECT_MAX_MS: Long = 2_000
        const val DEFAULT_IDLE_PEER_MS: Long = 60_000
        const val DEFAULT_MAX_MESSAGE_AGE_MS: Long = 2_000
    }
}
