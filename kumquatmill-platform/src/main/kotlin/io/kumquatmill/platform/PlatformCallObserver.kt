package io.kumquatmill.platform

/**
 * Measurement of one finished call to the platform.
 *
 * [call] is `host-list` or the kind of a store call, and [outcome] is `done` or the kind of error. Both are metric labels.
 */
data class PlatformCallMeasurement(
    val call: String,
    val outcome: String,
    val durationMs: Long,
)

/** Receives a measurement after each call to the platform. */
typealias PlatformCallObserver = (PlatformCallMeasurement) -> Unit
