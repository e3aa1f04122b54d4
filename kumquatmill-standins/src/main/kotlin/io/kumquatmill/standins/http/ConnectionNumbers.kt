package io.kumquatmill.standins.http

import java.util.concurrent.atomic.AtomicLong

/** Numbers the connections of a server, so that those before a fault can be told from later ones. */
internal class ConnectionNumbers {
    private val last = AtomicLong()

    @Volatile
    private var silentUpTo = 0L

    /** Returns the number of a new connection. */
    fun next(): Long = last.incrementAndGet()

    /** Makes all connections so far silent for good. */
    fun silence() {
        silentUpTo = last.get()
    }

    /** Returns whether the connection with [number] is silent. */
    fun isSilent(number: Long): Boolean = number <= silentUpTo
}
