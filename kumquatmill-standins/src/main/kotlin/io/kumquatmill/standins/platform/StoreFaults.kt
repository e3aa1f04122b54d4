package io.kumquatmill.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults injected into the key-value stand-in.
 *
 * While [isDown] is set, calls fail as unavailable and nothing is written. While [isSilent] is set, calls are not
 * executed and get no response. Each call is delayed by [delayMs] before it is executed, so a write may take effect after its
 * caller has timed out. Calls that exceed [maxReadsPerS] or [maxWritesPerS] fail as unavailable; null means no limit.
 * The next [answersToLose] calls take effect but receive no response; if [losesOnlyWrites] is set, this applies to
 * writes only.
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
