package io.kumquatmill.standins.worker

import io.kumquatmill.common.dsl.KumquatmillDsl

/**
 * Settings of one worker stand-in.
 *
 * The service time is uniformly distributed around its mean [serviceMs], with a maximum deviation of [spread] as a fraction of
 * the mean. During the first [coldStartMs], it is multiplied by a factor that falls linearly from [coldFactor] to 1. Responses
 * contain [responsePaddingBytes] of padding.
 */
data class WorkerSettings(
    val name: String,
    val slots: Int,
    val serviceMs: Double,
    val spread: Double,
    val seed: Int,
    val coldStartMs: Long,
    val coldFactor: Double,
    val responsePaddingBytes: Int,
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
    var responsePaddingBytes: Int = 0

    internal fun build(): WorkerSettings =
        WorkerSettings(name, slots, serviceMs, spread, seed, coldStartMs, coldFactor, responsePaddingBytes)
}

/** Returns the default settings with the changes made by [configure]. */
fun workerSettings(configure: WorkerSettingsBuilder.() -> Unit): WorkerSettings = WorkerSettingsBuilder().apply(configure).build()
