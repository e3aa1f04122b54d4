package io.kumquatmill.common.http

/** Names of the HTTP headers that entry hosts, workers and callers exchange. */
object HeaderNames {
    /** Identifier of the request; a worker's answer repeats it. */
    const val REQUEST_ID: String = "kumquatmill-request-id"

    /** Workspace that the request runs for; absent on routes that are open to all. */
    const val WORKSPACE: String = "kumquatmill-workspace"

    /** Time that is left for the request, in milliseconds. */
    const val DEADLINE_MS: String = "kumquatmill-deadline-ms"

    /** Outcome of a refused request: `not-run` or `unknown`. */
    const val OUTCOME: String = "kumquatmill-outcome"

    /** Reason of a refusal, by its wire name. */
    const val REASON: String = "kumquatmill-reason"

    /** `true` on the refusals of a worker that is leaving. */
    const val DRAINING: String = "kumquatmill-draining"

    /** Key by which a caller marks a repeat of its own request. */
    const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** When the caller should come back, in seconds. */
    const val RETRY_AFTER: String = "Retry-After"

    /** Carries a caller's key, as a bearer token; never sent to a worker. */
    const val AUTHORIZATION: String = "Authorization"
}
