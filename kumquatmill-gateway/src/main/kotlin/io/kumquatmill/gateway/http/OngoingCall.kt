package io.kumquatmill.gateway.http

/** A call that was started; runs on the event loop. */
fun interface OngoingCall {
    /** Gives the call up and closes its connection; its end is not told. */
    fun cancel()
}
