package io.kumquatmill.common.net

import java.io.IOException
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Gives out ports to tests and training runs, whose servers are told their port before they listen on it.
 *
 * Each process reserves blocks of ports by listening on the first port of a block until it ends. So processes that run at the same time
 * choose from different blocks. All blocks lie below the ports from which the kernel chooses for outgoing connections and for port 0.
 */
object ReservedPorts {
    private const val BLOCK_SIZE = 500
    private const val BACKLOG = 1
    private val firstPorts = 10_000 until 32_000 step BLOCK_SIZE
    private val reservations = ArrayList<ServerSocket>()
    private val unused = ArrayDeque<Int>()

    /**
     * Returns a TCP and UDP port on which nothing listens, and which this process has not returned before.
     *
     * Throws [IllegalStateException] if all blocks are in use.
     */
    @Synchronized
    fun next(): Int {
        while (true) {
            if (unused.isEmpty()) reserveBlock()
            val port = unused.removeFirst()
            if (isFree(port)) return port
        }
    }

    private fun reserveBlock() {
        val reservation = firstPorts.shuffled().firstNotNullOfOrNull(::listenOrNull) ?: error("no block of $BLOCK_SIZE ports is free")
        reservations += reservation
        unused += reservation.localPort + 1 until reservation.localPort + BLOCK_SIZE
    }

    private fun listenOrNull(port: Int): ServerSocket? {
        val socket = ServerSocket()
        return try {
            socket.apply { bind(InetSocketAddress(port), BACKLOG) }
        } catch (_: IOException) {
            socket.close()
            null
        }
    }

    /** Detects servers of programs that reserve no ports here. */
    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            DatagramSocket(port).close()
            true
        } catch (_: IOException) {
            false
        }
}
