package io.kumquatmill.gateway.relay

/** Headers that hosts add to a request that one passes on for another, and to its response; neither callers nor workers see them. */
internal object RelayHeaders {
    /** Id of the worker to which the request is passed on. */
    const val WORKER = "Kumquatmill-Relay-Worker"

    /** How long a connection to the worker may have been idle to be reused, in milliseconds. */
    const val MAX_IDLE_MS = "Kumquatmill-Relay-Max-Idle-Ms"

    /** [RelayResult.wireName] of the result. */
    const val RESULT = "Kumquatmill-Relay-Result"

    /** Cause of a result without a response. */
    const val DETAIL = "Kumquatmill-Relay-Detail"

    /** Names of all these headers, in lower case. */
    val names: Set<String> = setOf(WORKER, MAX_IDLE_MS, RESULT, DETAIL).mapTo(HashSet()) { it.lowercase() }
}
