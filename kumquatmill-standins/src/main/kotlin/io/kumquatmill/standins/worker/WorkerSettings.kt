package io.kumquatmill.standins.worker

import io.kumquatmill.common.dsl.KumquatmillDsl

/**
 * Settings of one worker stand-in.
 *
 * A request takes [serviceMs], spread evenly by [spread] of it to both sides. In the first [coldStartMs] a request takes
 * up to [coldFactor] times as long. Answers have [answerBytes] of padding.
 */
data class WorkerSettings(
    val name: String,
    val slots: Int,
    val serviceMs: Double,
    val spread: Double,
    val seed: Int,
    val coldStartMs: Long,
    val coldFactor: Double,
    val answerBytes: Int,
)

/** Builds [WorkerSettings]; see [workerSettings]. */
@KumquatmillDsl
class WorkerSettingsBuilder {
    var name: String = "worker-1"
    var slots: Int = 7
    var serviceMs: Double = 20.0
    var spread: Double = 0.5
    var seed: Int = 1
    var coldStartMs: Long = 0
    var coldFactor: Double = 4.0
    var answerBytes: Int = 0

    internal fun build(): WorkerSettings = WorkerSettings(name, slots, serviceMs, spread, seed, coldStartMs, coldFactor, answerBytes)
}

/** Returns settings with the given changes to the defaults. */
fun workerSettings(configure: WorkerSettingsBuilder.() -> Unit): WorkerSettings = WorkerSettingsBuilder().apply(configure).build()
