package io.kumquatmill.daemon.forward

import io.kumquatmill.common.time.MonotonicClock
import okhttp3.Connection
import java.util.Collections
import java.util.WeakHashMap

/** Tracks when the latest response began on each open connection. */
internal class ConnectionActivityTracker(
    private val clock: MonotonicClock,
) {
    private val lastResponseAtMs = Collections.synchronizedMap(WeakHashMap<Connection, Long>())

    /** Records that a response has begun on [connection]. */
    fun recordResponse(connection: Connection) {
        lastResponseAtMs[connection] = clock.nowMs()
    }

    /** Returns whether [connection] is new or its latest response began at most [maxIdleMs] ago. */
    fun isFresh(
        connection: Connection,
        maxIdleMs: Long,
    ): Boolean {
        val responseAtMs = lastResponseAtMs[connection] ?: return true
        return clock.nowMs() - responseAtMs <= maxIdleMs
    }
}
