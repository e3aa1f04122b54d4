package io.kumquatmill.common.http

/** Names of the HTTP headers that entry hosts, workers and callers exchange. */
object HeaderNames {
    /** Identifier of the request; the worker's response repeats it. */
    const val REQUEST_ID: String = "kumquatmill-request-id"

    /** Workspace of the request; absent on routes that need no key. */
    const val WORKSPACE: String = "kumquatmill-workspace"

    /** Remaining time of the request, in milliseconds. */
    const val DEADLINE_MS: String = "kumquatmill-deadline-ms"

    /** Outcome of a refused request: `not-run` or `unknown`. */
    const val OUTCOME: String = "kumquatmill-outcome"

    /** Reason for a refusal, as its `RefusalReason.wireName`. */
    const val REASON: String = "kumquatmill-reason"

    /** `true` on refusals by a worker that is draining. */
    const val DRAINING: String = "kumquatmill-draining"

    /** Key by which a caller identifies repetitions of the same request. */
    const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** Delay after which the caller should retry, in seconds. */
    const val RETRY_AFTER: String = "Retry-After"

    /** Bearer token with the caller's key; never sent to a worker. */
    const val AUTHORIZATION: String = "Authorization"
}
