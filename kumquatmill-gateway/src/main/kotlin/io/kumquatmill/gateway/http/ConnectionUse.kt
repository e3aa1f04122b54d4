package io.kumquatmill.gateway.http

/**
 * Which connection carried a call, and what it had carried before.
 *
 * @property connectionId number of the connection in this process
 * @property exchange number of the call on the connection, starting at 1
 * @property isRepeat whether the connection had carried the same request before, so that its response may be a copy of an earlier one
 */
data class ConnectionUse(
    val connectionId: Long,
    val exchange: Int,
    val isRepeat: Boolean,
)
