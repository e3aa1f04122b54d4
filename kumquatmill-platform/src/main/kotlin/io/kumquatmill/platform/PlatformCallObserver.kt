package io.kumquatmill.platform

/** One finished call of the platform, for metrics; [outcome] is `done` or the kind of error. */
data class PlatformCallMeasurement(
    val call: String,
    val outcome: String,
    val durationMs: Long,
)

/** Takes a measurement of each call of the platform. */
typealias PlatformCallObserver = (PlatformCallMeasurement) -> Unit
