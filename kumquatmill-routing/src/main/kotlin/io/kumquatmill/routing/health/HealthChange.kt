package io.kumquatmill.routing.health

import io.kumquatmill.common.id.WorkerId

/** A change in whether a worker receives requests, for the decision log. */
sealed interface HealthChange {
    val worker: WorkerId

    /** The worker receives no requests until [untilMs] of the monotonic clock of the entry host, after which it is probed. */
    data class Ejected(
        override val worker: WorkerId,
        val cause: EjectionCause,
        val untilMs: Long,
    ) : HealthChange

    /** The worker served a probe and is back in service, with a slow start. */
    data class Reinstated(
        override val worker: WorkerId,
    ) : HealthChange

    /** The worker is draining and receives no new requests. */
    data class DrainStarted(
        override val worker: WorkerId,
        val source: DrainSource,
    ) : HealthChange

    /** The worker is no longer draining. */
    data class DrainEnded(
        override val worker: WorkerId,
    ) : HealthChange
}

/** Why a worker was ejected. */
enum class EjectionCause {
    CONSECUTIVE_FAILURES,
    UNREACHABLE,
    SLOW,
    PROBE_FAILED,
}
