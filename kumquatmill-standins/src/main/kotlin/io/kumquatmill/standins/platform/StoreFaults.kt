package io.kumquatmill.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults of the key-value stand-in.
 *
 * While it [isDown], calls are refused and nothing is written. While it [isSilent], calls are neither executed nor
 * answered. Each call waits [delayMs] before it is executed, so a write may take effect after its caller has given up.
 * Calls above [maxReadsPerS] or [maxWritesPerS] are refused.
 * The next [answersToLose] calls take effect without an answer; with [losesOnlyWrites], only writes count.
 */
@Serializable
data class StoreFaults(
    val isDown: Boolean = false,
    val isSilent: Boolean = false,
    val delayMs: Long = 0,
    val maxReadsPerS: Int? = null,
    val maxWritesPerS: Int? = null,
    val answersToLose: Int = 0,
    val losesOnlyWrites: Boolean = true,
)
