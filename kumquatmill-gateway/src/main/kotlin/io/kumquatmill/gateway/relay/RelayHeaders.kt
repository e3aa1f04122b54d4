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

    /**
     * Present if the host checks that what a worker sends is exactly one answer. Hosts of builds that do not check it do not send this
     * header, and their word that a worker has not run a request does not count.
     */
    const val FRAMING = "Kumquatmill-Relay-Framing"

    /** Value of [FRAMING]. */
    const val FRAMING_CHECKED = "checked"

    /**
     * States whether the connection to the worker had carried the request before: [REPEAT_NO] if it had not. Hosts of builds that do not
     * know it do not send this header, and a refusal that they pass on may be the copy of an earlier one unless its connection was new.
     */
    const val REPEAT = "Kumquatmill-Relay-Repeat"

    /** Value of [REPEAT]. */
    const val REPEAT_NO = "no"

    /** Names of all these headers, in lower case. */
    val names: Set<String> = setOf(WORKER, MAX_IDLE_MS, RESULT, DETAIL, FRAMING, REPEAT).mapTo(HashSet()) { it.lowercase() }
}
