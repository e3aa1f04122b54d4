package io.kumquatmill.gateway.peer

import io.kumquatmill.gateway.log.EventLog
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.SocketException

/**
 * Sends and receives messages between hosts as UDP datagrams. Lost messages are not retransmitted: each report replaces the previous
 * one, and a loan is requested again.
 *
 * @param ip IP address of this host, on which messages are received
 * @param port UDP port of the messages, the same on all hosts
 * @param onMessage called with each received message, on the thread of the socket
 */
class PeerSocket(
    ip: String,
    private val port: Int,
    private val log: EventLog,
    private val onMessage: (PeerMessage) -> Unit,
) : AutoCloseable {
    private val socket = DatagramSocket(InetSocketAddress(InetAddress.getByName(ip), port))
    private val thread = Thread({ receiveLoop() }, "peers").apply { isDaemon = true }

    /** Starts the thread that receives messages. */
    fun start() = thread.start()

    /** Sends [message] to the hosts at [ips]. Failures are logged. */
    fun send(
        message: PeerMessage,
        ips: Collection<String>,
    ) {
        val bytes = PeerMessageCodec.encode(message)
        ips.forEach { ip ->
            try {
                socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getByName(ip), port))
            } catch (e: IOException) {
                log.warn("cannot send message to peer", "peer" to ip, "detail" to e.message)
            }
        }
    }

    override fun close() = socket.close()

    /** Receives until the socket is closed; no message and no error ends the loop. */
    @Suppress("TooGenericExceptionCaught")
    private fun receiveLoop() {
        val buffer = ByteArray(MAX_DATAGRAM_BYTES)
        while (!socket.isClosed) {
            try {
                val packet = DatagramPacket(buffer, buffer.size)
                socket.receive(packet)
                onMessage(PeerMessageCodec.decode(buffer.copyOf(packet.length)))
            } catch (e: SocketException) {
                if (!socket.isClosed) log.warn("receiving messages from peers failed", "detail" to e.message)
            } catch (e: MalformedPeerMessageException) {
                log.warn("cannot decode message from peer", "detail" to e.message)
            } catch (e: IOException) {
                log.warn("cannot receive message from peer", "detail" to e.message)
            } catch (e: RuntimeException) {
                log.warn("cannot handle message from peer", "detail" to e.toString())
            }
        }
    }

    private companion object {
        const val MAX_DATAGRAM_BYTES = 32 * 1024
    }
}
