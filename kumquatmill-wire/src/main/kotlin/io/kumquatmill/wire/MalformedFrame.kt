package io.kumquatmill.wire

/** A frame that is no peer message; [message] names the remedy. */
data class MalformedFrame(
    val detail: String,
) {
    val message: String
        get() = "malformed frame ($detail): check that the peer runs kumquatmilld and that only entry hosts reach the peer port"
}
