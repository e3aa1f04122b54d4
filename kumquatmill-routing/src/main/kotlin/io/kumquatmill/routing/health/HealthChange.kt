package io.kumquatmill.routing.health

import io.kumquatmill.common.id.WorkerId

/** A change in whether a worker gets requests, for the log of decisions. */
sealed interface HealthChange {
    val worker: WorkerId

    /** The worker gets nothing until [untilMs]. */
    data class Ejected(
        override val worker: WorkerId,
        val cause: EjectionCause,
        val untilMs: Long,
    ) : HealthChange

    /** The worker served a probe and gets a growing part of its slots. */
    data class Returned(
        override val worker: WorkerId,
    ) : HealthChange

    /** The worker is leaving and gets nothing new. */
    data class DrainStarted(
        override val worker: WorkerId,
        val source: DrainSource,
    ) : HealthChange

    /** The worker is no longer leaving. */
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
