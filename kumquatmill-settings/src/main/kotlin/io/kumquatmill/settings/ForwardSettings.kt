package io.kumquatmill.settings

/** How the daemon talks to workers. */
data class ForwardSettings(
    val connectTimeoutMs: Long,
    val freshConnectionMs: Long,
    val idleConnectionMs: Long,
    val loadIntervalMs: Long,
    val loadTimeoutMs: Long,
)
