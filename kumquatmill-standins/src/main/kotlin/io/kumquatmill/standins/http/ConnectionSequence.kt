package io.kumquatmill.standins.http

import java.util.concurrent.atomic.AtomicLong

/** Assigns ascending numbers to the connections of a server, to distinguish those opened before a fault from later ones. */
internal class ConnectionSequence {
    private val lastNumber = AtomicLong()

    @Volatile
    private var lastSilencedNumber = 0L

    /** Assigns and returns the number of a new connection. */
    fun nextNumber(): Long = lastNumber.incrementAndGet()

    /** Permanently marks all connections numbered so far as silent: their requests get no response. */
    fun silenceExisting() {
        lastSilencedNumber = lastNumber.get()
    }

    /** Returns whether requests on the connection with [number] get no response. */
    fun isSilent(number: Long): Boolean = number <= lastSilencedNumber
}
