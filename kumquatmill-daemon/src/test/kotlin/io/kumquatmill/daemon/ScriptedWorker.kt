package io.kumquatmill.daemon

import io.kumquatmill.common.fleet.HostAddress
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** A request received by a [ScriptedWorker]. */
internal class ReceivedRequest(
    val connection: Int,
    val head: String,
    val body: String,
) {
    val requestId: String = header("kumquatmill-request-id").orEmpty()

    fun header(name: String): String? =
        head
            .lines()
            .drop(1)
            .firstOrNull { it.substringBefore(':').equals(name, ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()

    /** Returns the raw bytes of an HTTP response to this request. */
    fun response(
        status: String = "200 OK",
        body: String = "done",
        id: String = requestId,
        headers: List<String> = emptyList(),
        length: Int = body.length,
    ): ByteArray {
        val lines = listOf("HTTP/1.1 $status", "kumquatmill-request-id: $id", "Content-Length: $length") + headers
        return (lines.joinToString("\r\n") + "\r\n\r\n" + body).toByteArray()
    }
}

/** Socket-based fake worker that records requests and sends the bytes returned by [script]. If they are null, it closes the connection. */
internal class ScriptedWorker(
    private val script: (ReceivedRequest) -> ByteArray?,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    val address = HostAddress("127.0.0.1", server.localPort)
    val receivedRequests = CopyOnWriteArrayList<ReceivedRequest>()

    /** Reaches zero when a client has closed a connection to this worker. */
    val connectionClosed = CountDownLatch(1)

    init {
        thread(isDaemon = true) {
            try {
                while (true) accept(server.accept())
            } catch (_: IOException) {
                server.close()
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept(socket: Socket) {
        sockets += socket
        val connectionNumber = sockets.size
        thread(isDaemon = true) {
            try {
                socket.use { serveConnection(it, connectionNumber) }
            } catch (_: IOException) {
                connectionClosed.countDown()
            }
        }
    }

    private fun serveConnection(
        socket: Socket,
        connectionNumber: Int,
    ) {
        val input = socket.getInputStream()
        while (true) {
            val head = readHead(input) ?: break
            val length =
                head
                    .lines()
                    .firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
                    ?.substringAfter(':')
                    ?.trim()
            val request = ReceivedRequest(connectionNumber, head, String(input.readNBytes(length?.toInt() ?: 0)))
            if (request.head.startsWith("GET /load ")) return
            receivedRequests += request
            socket.getOutputStream().write(script(request) ?: return)
        }
        connectionClosed.countDown()
    }

    private fun readHead(input: InputStream): String? {
        val bytes = ByteArrayOutputStream()
        while (!bytes.toString().endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            bytes.write(byte)
        }
        return bytes.toString().trimEnd()
    }

    private companion object {
        const val BACKLOG = 50
    }
}
