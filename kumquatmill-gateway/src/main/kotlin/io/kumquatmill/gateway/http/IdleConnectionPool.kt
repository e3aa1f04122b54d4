package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.undertow.client.ClientConnection
import org.xnio.IoUtils

/** Connections that wait for their next request, by address, the one used last first. */
internal class IdleConnectionPool(
    private val clock: MonotonicClock,
) {
    private class Idle(
        val connection: ClientConnection,
        val sinceMs: Long,
        val usableUntilMs: Long,
    )

    private val idleByAddress = HashMap<HostAddress, ArrayDeque<Idle>>()

    /** Returns an open connection to [address] that has waited for less than [maxIdleMs], or null. */
    fun take(
        address: HostAddress,
        maxIdleMs: Long,
    ): ClientConnection? {
        val idle = idleByAddress[address] ?: return null
        val nowMs = clock.nowMs()
        while (true) {
            val last = idle.lastOrNull() ?: return null
            if (nowMs - last.sinceMs >= maxIdleMs) return null
            idle.removeLast()
            if (last.connection.isOpen && nowMs < last.usableUntilMs) return last.connection
            IoUtils.safeClose(last.connection)
        }
    }

    /** Keeps [connection] for [idleMs] at most. */
    fun keep(
        address: HostAddress,
        connection: ClientConnection,
        idleMs: Long,
    ) {
        val idle = idleByAddress.getOrPut(address) { ArrayDeque() }
        if (idleMs <= 0 || idle.size >= MAX_IDLE_PER_ADDRESS) {
            IoUtils.safeClose(connection)
        } else {
            idle.addLast(Idle(connection, clock.nowMs(), clock.nowMs() + idleMs))
        }
    }

    /** Closes idle connections to [address] beyond [most], those that have waited longest first. */
    fun trim(
        address: HostAddress,
        most: Int,
    ) {
        val idle = idleByAddress[address] ?: return
        while (idle.size > most) IoUtils.safeClose(idle.removeFirst().connection)
    }

    /** Closes all idle connections to [address]: they may have gone silent with one that failed. */
    fun drop(address: HostAddress) {
        idleByAddress.remove(address)?.forEach { IoUtils.safeClose(it.connection) }
    }

    /** Closes the connections that have been idle for too long. */
    fun sweep() {
        val nowMs = clock.nowMs()
        idleByAddress.values.forEach { idle ->
            idle.removeIf { entry ->
                val isOver = !entry.connection.isOpen || nowMs >= entry.usableUntilMs
                if (isOver) IoUtils.safeClose(entry.connection)
                isOver
            }
        }
        idleByAddress.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** A host has few requests at one worker at a time. */
        const val MAX_IDLE_PER_ADDRESS = 8
    }
}
