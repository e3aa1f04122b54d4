package io.kumquatmill.wire

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.SocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writeFully
import io.kumquatmill.common.fleet.HostAddress
import java.nio.ByteBuffer

/** TCP connection to or from a peer. */
internal class PeerSocket(
    private val socket: Socket,
) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    val remoteAddress: SocketAddress = socket.remoteAddress

    /** Reads exactly [count] bytes. */
    suspend fun readFully(count: Int): ByteBuffer = ByteBuffer.wrap(input.readByteArray(count))

    /** Writes and flushes all remaining bytes of [buffer]. */
    suspend fun writeFully(buffer: ByteBuffer) {
        output.writeFully(buffer)
        output.flush()
    }

    override fun close() = socket.close()

    companion object {
        /** Opens a connection to [address]. */
        suspend fun connect(
            selector: SelectorManager,
            address: HostAddress,
        ): PeerSocket = PeerSocket(aSocket(selector).tcp().connect(address.ip, address.port) { noDelay = true })
    }
}

/** Accepts the next connection, suspending until there is one. */
internal suspend fun ServerSocket.acceptPeer(): PeerSocket = PeerSocket(accept())
