package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreCall

/** Decides how long calls to the store wait and when they are given up. */
class StoreCallSchedule {
    /**
     * Returns the wait in milliseconds of the next watch.
     *
     * @param failures number of calls that have failed in a row
     * @param isConnected whether the store has answered before on the connection that the watch will use
     * @param isSettling whether the store has to confirm what it may have lost
     */
    fun watchWaitMs(
        failures: Int,
        isConnected: Boolean,
        isSettling: Boolean,
    ): Long =
        when {
            // The store may never respond to a call that is sent during an outage; a long wait would then delay recovery after the outage.
            failures > 0 -> PROBE_WATCH_WAIT_MS
            // A store that came back from an older copy closed the connection, and may wait for changes after a revision given out again.
            !isConnected -> PROBE_WATCH_WAIT_MS
            isSettling -> SETTLING_WATCH_WAIT_MS
            else -> WATCH_WAIT_MS
        }

    /** Returns the time in milliseconds after which [call] is given up if the store has not answered it. */
    fun timeoutMs(call: StoreCall): Long = ((call as? StoreCall.Watch)?.waitMs ?: 0) + CALL_TIMEOUT_MS

    private companion object {
        /** Bounds the time until a dead connection is detected. It is not shorter, because the platform charges for each watch call. */
        const val WATCH_WAIT_MS = 4_000L

        /** Wait of a watch while the service is considered unavailable. */
        const val PROBE_WATCH_WAIT_MS = 200L

        /** Wait of a watch while the store has to confirm what it may have lost. */
        const val SETTLING_WATCH_WAIT_MS = 500L

        /** The service responds within a few milliseconds, or within a few hundred when it is slow. */
        const val CALL_TIMEOUT_MS = 1_500L
    }
}
