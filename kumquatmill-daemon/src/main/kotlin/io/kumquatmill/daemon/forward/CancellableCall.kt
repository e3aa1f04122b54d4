package io.kumquatmill.daemon.forward

import okhttp3.Call

/** Holder of the current HTTP call of an attempt. A call attached after [cancel] is cancelled at once. */
internal class CancellableCall {
    private var call: Call? = null
    private var isCancelled = false

    @Synchronized
    fun attach(newCall: Call) {
        call = newCall
        if (isCancelled) newCall.cancel()
    }

    @Synchronized
    fun cancel() {
        isCancelled = true
        call?.cancel()
    }
}
