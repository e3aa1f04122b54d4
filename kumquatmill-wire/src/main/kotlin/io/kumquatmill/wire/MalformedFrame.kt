package io.kumquatmill.wire

/** Why a frame is malformed: its length is out of range, or its content is not a peer message. [message] includes the remedy. */
data class MalformedFrame(
    val detail: String,
) {
    val message: String
        get() = "malformed frame ($detail): check that the peer runs kumquatmilld and that only entry hosts can reach the peer port"
}
