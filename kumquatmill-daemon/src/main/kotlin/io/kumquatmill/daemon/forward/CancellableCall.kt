package io.kumquatmill.daemon.forward

import okhttp3.Call

/** The call of one attempt; an attempt that was cancelled before its call began never begins. */
internal class CancellableCall {
    private var call: Call? = null
    private var isCancelled = false

    @Synchronized
    fun use(next: Call) {
        call = next
        if (isCancelled) next.cancel()
    }

    @Synchronized
    fun cancel() {
        isCancelled = true
        call?.cancel()
    }
}
