package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreCall
import kotlin.math.min

/**
 * Decides how long calls to the store wait and when they are given up, so that a host has applied all changes within [recoveryMs] after its
 * connections to the store have gone silent.
 *
 * A connection that goes silent while changes are collected, before the next watch is sent, is noticed last: when the watch has waited and
 * its answer is overdue. What is left of [recoveryMs] then serves to call again over a new connection and to read a snapshot.
 */
class StoreCallSchedule(
    recoveryMs: Long,
) {
    private val callTimeoutMs = min(CALL_TIMEOUT_MS, recoveryMs * 3 / 8)
    private val watchTimeoutMs = min(WATCH_TIMEOUT_MS, recoveryMs / 4)
    private val longestWatchMs = recoveryMs - watchTimeoutMs - recoveryMs / 4

    /**
     * Returns the wait in milliseconds of the next watch.
     *
     * @param failures number of calls that have failed in a row
     * @param isConnected whether the store has answered before on the connection that the watch will use
     * @param isSettling whether the store has to confirm what it may have lost
     * @param batchDelayMs time in milliseconds for which changes are collected before a watch is sent
     */
    fun watchWaitMs(
        failures: Int,
        isConnected: Boolean,
        isSettling: Boolean,
        batchDelayMs: Long,
    ): Long {
        val longestMs = (longestWatchMs - batchDelayMs).coerceIn(PROBE_WATCH_WAIT_MS, MAX_WATCH_WAIT_MS)
        return when {
            // The store may never respond to a call that is sent during an outage; a long wait would then delay recovery after the outage.
            failures > 0 -> PROBE_WATCH_WAIT_MS
            // A store that came back from an older copy closed the connection, and may wait for changes after a revision given out again.
            !isConnected -> PROBE_WATCH_WAIT_MS
            isSettling -> min(SETTLING_WATCH_WAIT_MS, longestMs)
            else -> longestMs
        }
    }

    /**
     * Returns the time in milliseconds after which [call] is given up if the store has not answered it. After a failure, a slow store has
     * longer to answer a watch.
     */
    fun timeoutMs(call: StoreCall): Long =
        when {
            call !is StoreCall.Watch -> callTimeoutMs
            call.waitMs <= PROBE_WATCH_WAIT_MS -> call.waitMs + callTimeoutMs
            else -> call.waitMs + watchTimeoutMs
        }

    private companion object {
        /** Longest wait of a watch. A longer one would save few calls. */
        const val MAX_WATCH_WAIT_MS = 4_000L

        /** Wait of a watch while the service is considered unavailable. */
        const val PROBE_WATCH_WAIT_MS = 200L

        /** Wait of a watch while the store has to confirm what it may have lost. */
        const val SETTLING_WATCH_WAIT_MS = 500L

        /** The service responds within a few milliseconds, or within a few hundred when it is slow. */
        const val CALL_TIMEOUT_MS = 1_500L

        /** Longest delay of the response to a watch after its wait. */
        const val WATCH_TIMEOUT_MS = 1_000L
    }
}
