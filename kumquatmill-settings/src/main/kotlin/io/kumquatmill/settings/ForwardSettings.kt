package io.kumquatmill.settings

/**
 * Settings of the HTTP client that forwards requests to workers.
 *
 * @property connectTimeoutMs timeout for opening a connection.
 * @property freshConnectionMs maximum time since the last response on a connection that counts as fresh.
 * @property idleConnectionMs time after which an idle connection is closed.
 * @property loadIntervalMs time between two load polls of a worker.
 * @property loadTimeoutMs timeout of a load poll.
 */
data class ForwardSettings(
    val connectTimeoutMs: Long,
    val freshConnectionMs: Long,
    val idleConnectionMs: Long,
    val loadIntervalMs: Long,
    val loadTimeoutMs: Long,
)
