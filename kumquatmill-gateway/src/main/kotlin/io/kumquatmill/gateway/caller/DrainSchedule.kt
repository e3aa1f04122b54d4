package io.kumquatmill.gateway.caller

/**
 * Times of a planned stop, in milliseconds of the host's monotonic clock.
 *
 * @property acceptAllUntilMs time until which every request is accepted, since callers may not know of the stop yet
 * @property exitAtMs time at which the process exits; after [acceptAllUntilMs], a request that could last longer is rejected
 */
class DrainSchedule(
    val acceptAllUntilMs: Long,
    val exitAtMs: Long,
)
