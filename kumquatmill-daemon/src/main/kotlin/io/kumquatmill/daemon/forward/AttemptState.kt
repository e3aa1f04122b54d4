package io.kumquatmill.daemon.forward

/** What is known of one attempt while it is under way; carried by the request as a tag. */
internal class AttemptState(
    val needsFreshConnection: Boolean,
) {
    /** Whether a byte of the request may have left the host. */
    @Volatile
    var isSent = false
}
