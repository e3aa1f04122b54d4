package io.kumquatmill.settings

/** Default values of optional settings. */
object SettingsDefaults {
    const val STORE_TIMEOUT_MS: Long = 10_000
    const val HOST_LIST_INTERVAL_MS: Long = 2_000

    const val MAX_HEAD_BYTES: Int = 16 * 1024
    const val MAX_BODY_BYTES: Long = 1024 * 1024
    const val MAX_RESPONSE_BYTES: Long = 1024 * 1024
    const val MAX_BUFFERED_BYTES: Long = 64L * 1024 * 1024
    const val MAX_CONNECTIONS: Int = 4_096
    const val MAX_REQUESTS_IN_FLIGHT: Int = 2_048
    const val HEAD_TIMEOUT_MS: Long = 5_000
    const val BODY_TIMEOUT_MS: Long = 5_000
    const val IDLE_TIMEOUT_MS: Long = 60_000
    const val STOP_TIMEOUT_MS: Long = 30_000

    const val MAX_QUEUED_PER_WORKSPACE: Int = 64
    const val RATE_WAIT_MS: Long = 500
    const val RING_CAPACITY: Int = 4_096
    const val PEER_RING_CAPACITY: Int = 1_024

    const val CONNECT_TIMEOUT_MS: Long = 500
    const val FRESH_CONNECTION_MS: Long = 1_000
    const val IDLE_CONNECTION_MS: Long = 15_000
    const val LOAD_INTERVAL_MS: Long = 2_000
    const val LOAD_TIMEOUT_MS: Long = 500

    const val STANDING_MS: Long = 4_000
    const val FRESHNESS_MS: Long = 6_000

    const val SHIFT_INTERVAL_MS: Long = 1_000

    val isolationPolicy: IsolationPolicy = IsolationPolicy.REFUSE
    val logFormat: LogFormat = LogFormat.TEXT
    val logLevel: LogLevel = LogLevel.INFO
}
