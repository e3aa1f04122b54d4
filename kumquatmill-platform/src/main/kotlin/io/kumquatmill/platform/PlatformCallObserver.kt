package io.kumquatmill.platform

/** Measurement of one finished call to the platform; [outcome] is `done` or the kind of error. */
data class PlatformCallMeasurement(
    val call: String,
    val outcome: String,
    val durationMs: Long,
)

/** Receives a measurement after each call to the platform. */
typealias PlatformCallObserver = (PlatformCallMeasurement) -> Unit
