package io.kumquatmill.traffic.control

/**
 * Why a request was refused without having been executed.
 *
 * @property wireName name of the cause in responses, logs and metrics
 */
enum class RefusalCause(
    val wireName: String,
) {
    /** The workspace has exceeded its rate limit. */
    RATE_LIMIT_EXCEEDED("over-allowance"),

    /** All workers are so busy that the request would wait longer than it may. */
    NO_CAPACITY("no-room"),

    /** No worker is eligible for the request. */
    NO_WORKER("no-worker"),

    /** Workers shed the request or were unreachable, and it may not be retried. */
    RETRIES_EXHAUSTED("turned-away"),

    /** Workers have ended when they ran this request before. */
    QUARANTINED("crashes-workers"),

    /** Too little time is left before the request's deadline. */
    TOO_LATE("too-late"),
}
