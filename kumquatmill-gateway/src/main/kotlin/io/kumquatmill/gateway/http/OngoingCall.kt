package io.kumquatmill.gateway.http

/** A call that was started. Must be used on the event loop. */
fun interface OngoingCall {
    /** Cancels the call and closes its connection; the result callback is not called afterwards. */
    fun cancel()
}
