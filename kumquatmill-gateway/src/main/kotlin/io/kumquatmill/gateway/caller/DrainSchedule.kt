package io.kumquatmill.gateway.caller

import kotlin.math.min

/**
 * Times of a planned stop, in milliseconds of the host's monotonic clock.
 *
 * @property acceptAllUntilMs time until which every request is accepted, since callers may not know of the stop yet
 * @property exitAtMs time at which the process exits; after [acceptAllUntilMs], a request that could last longer is rejected
 */
class DrainSchedule(
    val acceptAllUntilMs: Long,
    val exitAtMs: Long,
) {
    /** Returns whether a request that arrives now and has [timeLimitMs] to get its response is accepted. */
    fun accepts(
        nowMs: Long,
        timeLimitMs: Long,
    ): Boolean = nowMs < acceptAllUntilMs || timeLimitMs <= exitAtMs - nowMs

    companion object {
        /** Fraction of the stop timeout during which all requests are accepted; callers refresh their directory response within it. */
        private const val ACCEPT_ALL_FRACTION = 0.5

        /** A longer stop timeout gives open requests more time to end, not callers more time to send others. */
        private const val MAX_ACCEPT_ALL_MS = 3_000L

        /** Time before the end of the stop timeout at which the host exits even if requests are open. */
        const val EXIT_MARGIN_MS = 400L

        /** Returns the schedule of a stop that begins now and must be over within [stopTimeoutMs]. */
        fun of(
            nowMs: Long,
            stopTimeoutMs: Long,
        ) = DrainSchedule(
            acceptAllUntilMs = nowMs + min((stopTimeoutMs * ACCEPT_ALL_FRACTION).toLong(), MAX_ACCEPT_ALL_MS),
            exitAtMs = nowMs + stopTimeoutMs - EXIT_MARGIN_MS,
        )
    }
}
