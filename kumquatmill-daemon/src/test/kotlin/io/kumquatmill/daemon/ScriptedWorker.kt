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

/** A request as it arrived at a [ScriptedWorker]. */
internal class Arrival(
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

    /** Returns an answer to this request, byte by byte as it goes over the wire. */
    fun answer(
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

/** A worker over plain sockets that counts arrivals and sends what [script] says; null closes the connection. */
internal class ScriptedWorker(
    private val script: (Arrival) -> ByteArray?,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    val address = HostAddress("127.0.0.1", server.localPort)
    val arrivals = CopyOnWriteArrayList<Arrival>()

    /** Opens when a caller has closed a connection of this worker. */
    val connectionClosed = CountDownLatch(1)

    init {
        thread(isDaemon = true) {
            try {
                while (true) serve(server.accept())
            } catch (_: IOException) {
                server.close()
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        sockets += socket
        val number = sockets.size
        thread(isDaemon = true) {
            try {
                socket.use { answerAll(it, number) }
            } catch (_: IOException) {
                connectionClosed.countDown()
            }
        }
    }

    private fun answerAll(
        socket: Socket,
        number: Int,
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
            val arrival = Arrival(number, head, String(input.readNBytes(length?.toInt() ?: 0)))
            if (arrival.head.startsWith("GET /load ")) return
            arrivals += arrival
            socket.getOutputStream().write(script(arrival) ?: return)
        }
        connectionClosed.countDown()
    }

    private fun readHead(input: InputStream): String? {
        val bytes = ByteArrayOutputStream()
        while (!bytes.toString().endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            bytes.write(next)
        }
        return bytes.toString().trimEnd()
    }

    private companion object {
        const val BACKLOG = 50
    }
}
