package io.kumquatmill.traffic.ratelimit

/** Decision of the rate limiter on one request of a workspace. */
sealed interface RateLimitDecision {
    /** A token was taken for the request. */
    data object Granted : RateLimitDecision

    /** This host has no token, but peers were asked for a loan: try again after [afterMs] milliseconds. */
    data class Pending(
        val afterMs: Long,
    ) : RateLimitDecision

    /** The workspace has used up its rate limit; the caller may retry after [retryAfterMs] milliseconds. */
    data class Refused(
        val retryAfterMs: Long,
    ) : RateLimitDecision
}
