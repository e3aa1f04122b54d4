package io.kumquatmill.wire

/**
 * Limits and timeouts of a [PeerTransport].
 *
 * @property maxFrameBytes maximum size of an encoded message.
 * @property queueCapacity maximum number of messages queued for each peer.
 * @property maxInboundConnections maximum number of open connections from peers.
 * @property connectTimeoutMs timeout for opening a connection.
 * @property heartbeatIntervalMs time between two heartbeats on a connection.
 * @property silenceTimeoutMs read timeout: time without any data from the peer after which a connection is closed.
 * @property minReconnectDelayMs initial bound of the backoff between connection attempts.
 * @property maxReconnectDelayMs maximum bound of the backoff between connection attempts.
 * @property idleTimeoutMs time without messages to a peer after which its connection is closed and its queue removed.
 * @property maxMessageAgeMs maximum age of a queued message; older ones are dropped instead of sent.
 */
data class PeerTransportSettings(
    val maxFrameBytes: Int = DEFAULT_MAX_FRAME_BYTES,
    val queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
    val maxInboundConnections: Int = DEFAULT_MAX_INBOUND_CONNECTIONS,
    val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
    val heartbeatIntervalMs: Long = DEFAULT_HEARTBEAT_INTERVAL_MS,
    val silenceTimeoutMs: Long = DEFAULT_SILENCE_TIMEOUT_MS,
    val minReconnectDelayMs: Long = DEFAULT_MIN_RECONNECT_DELAY_MS,
    val maxReconnectDelayMs: Long = DEFAULT_MAX_RECONNECT_DELAY_MS,
    val idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS,
    val maxMessageAgeMs: Long = DEFAULT_MAX_MESSAGE_AGE_MS,
) {
    companion object {
        const val DEFAULT_MAX_FRAME_BYTES: Int = 2 * 1024 * 1024
        const val DEFAULT_QUEUE_CAPACITY: Int = 256
        const val DEFAULT_MAX_INBOUND_CONNECTIONS: Int = 1_024
        const val DEFAULT_CONNECT_TIMEOUT_MS: Long = 500
        const val DEFAULT_HEARTBEAT_INTERVAL_MS: Long = 1_000
        const val DEFAULT_SILENCE_TIMEOUT_MS: Long = 3_000
        const val DEFAULT_MIN_RECONNECT_DELAY_MS: Long = 50
        const val DEFAULT_MAX_RECONNECT_DELAY_MS: Long = 2_000
        const val DEFAULT_IDLE_TIMEOUT_MS: Long = 60_000
        const val DEFAULT_MAX_MESSAGE_AGE_MS: Long = 2_000
    }
}
