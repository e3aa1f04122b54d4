package io.kumquatmill.daemon.forward

/** State of an attempt in progress, attached to the OkHttp request as a tag. */
internal class AttemptState(
    val needsFreshConnection: Boolean,
) {
    /** Whether any byte of the request may have been sent. */
    @Volatile
    var mayHaveBeenSent = false
}
