package io.kumquatmill.daemon.forward

import io.kumquatmill.common.time.MonotonicClock
import okhttp3.Connection
import java.util.Collections
import java.util.WeakHashMap

/** Remembers when each open connection last began to answer. */
internal class ConnectionAges(
    private val clock: MonotonicClock,
) {
    private val lastAnswerMs = Collections.synchronizedMap(WeakHashMap<Connection, Long>())

    fun answered(connection: Connection) {
        lastAnswerMs[connection] = clock.nowMs()
    }

    /** Returns whether [connection] is new or has answered within [withinMs]. */
    fun isFresh(
        connection: Connection,
        withinMs: Long,
    ): Boolean {
        val answeredAtMs = lastAnswerMs[connection] ?: return true
        return clock.nowMs() - answeredAtMs <= withinMs
    }
}
