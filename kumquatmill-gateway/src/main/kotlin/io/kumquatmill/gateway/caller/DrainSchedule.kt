package io.kumquatmill.gateway.caller

/**
 * Times of a planned stop, by the host's monotonic clock.
 *
 * @property takesAllUntilMs until then callers may not know of the stop yet, and every request is taken
 * @property stopsAtMs then the process is gone; a request that could last longer is refused
 */
class DrainSchedule(
    val takesAllUntilMs: Long,
    val stopsAtMs: Long,
)
