package io.kumquatmill.traffic.control

/** Why an answer that was received is not believed; [wireName] is its name in logs and metrics. */
enum class AnswerDoubt(
    val wireName: String,
) {
    /** Its bytes are not exactly one HTTP response, so that it may consist of parts of several. */
    FRAMING("framing"),

    /** It names no request, or another one. */
    IDENTITY("identity"),

    /** It states that the request has not run, on a connection that may have carried the same request before. */
    REPEAT("repeat"),

    /** It states that the request has not run, with a status or a proof that says otherwise. */
    PROMISE("promise"),

    /** It bears no proof of a worker where it needs one, or that of several answers. */
    PROOF("proof"),
}
