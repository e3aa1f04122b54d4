package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.HttpHeaderNames
import io.kumquatmill.gateway.caller.classifyResponse
import io.kumquatmill.gateway.caller.identityFlaw
import io.kumquatmill.traffic.control.AttemptResult
import io.undertow.server.DefaultByteBufferPool
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against requests that are taken for refused, or for answered, although they run: an answer to an earlier sending of the same
 * request is written once more where the answer to the current one is due.
 */
class RepeatedRequestTest {
    private val xnioWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1))
    private val loop = xnioWorker.ioThread
    private val client =
        EventLoopHttpClient(loop, DefaultByteBufferPool(false, BUFFER_BYTES), MonotonicClock.system, ResponseBuffers(100_000))
    private val headerNames = HttpHeaderNames("Request-Id", "d", "a", "w", "e", "load", "limit", "Not-Executed", "Server-Stamp")

    @AfterTest
    fun stop() = xnioWorker.shutdown()

    /** Starts a request with [id]; the event loop stands still for [frozenMs] right before. */
    private fun start(
        address: HostAddress,
        id: String,
        body: ByteArray = "order".toByteArray(),
        frozenMs: Long = 0,
    ): CompletableFuture<AttemptResult> {
        val result = CompletableFuture<AttemptResult>()
        val call =
            HttpCall(
                address = address,
                method = "POST",
                target = "/order",
                headers = listOf("Host" to "shop.example", "Request-Id" to id),
                body = body,
                connectTimeoutMs = 500,
                timeoutMs = 3_000,
                requestId = id,
                isOwnResponse = { identityFlaw(it, id, headerNames) == null },
            )
        loop.execute {
            Thread.sleep(frozenMs)
            client.send(call) { result.complete(resultOf(it, id)) }
        }
        return result
    }

    private fun send(
        address: HostAddress,
        id: String,
        body: ByteArray = "order".toByteArray(),
        frozenMs: Long = 0,
    ): AttemptResult = start(address, id, body, frozenMs).get(5, TimeUnit.SECONDS)

    private fun resultOf(
        result: CallResult,
        id: String,
    ): AttemptResult =
        when (result) {
            is CallResult.Response -> classifyResponse(result, id, headerNames)
            is CallResult.Incomplete -> AttemptResult.Unknown(result.detail)
            is CallResult.NotSent -> AttemptResult.Unreachable(result.detail)
        }

    private val ScriptedServer.Connection.id: String
        get() = head.substringAfter("Request-Id: ").substringBefore("\r\n")

    private fun refusal(
        id: String,
        status: String = "503 Full",
    ) = "HTTP/1.1 $status\r\nRequest-Id: $id\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n"

    private fun success(
        id: String,
        body: String = "ok",
    ) = "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nServer-Stamp: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun ScriptedServer.portsOf(id: String) = requests.filter { it.id == id }.map { it.socket.port }

    /** A worker that writes the first answer to a request once more when the request is under way again on the same connection. */
    private fun copyingServer(firstAnswer: ScriptedServer.Connection.() -> String): ScriptedServer {
        val answers = HashMap<Pair<Int, String>, String>()
        return ScriptedServer {
            val copy = synchronized(answers) { answers[socket.port to id] }
            val isFirst = synchronized(answers) { answers.keys.none { (_, known) -> known == id } }
            val answer = if (isFirst) firstAnswer() else success(id, "ran")
            synchronized(answers) { answers.putIfAbsent(socket.port to id, answer) }
            write(copy.orEmpty() + answer)
        }
    }

    @Test
    fun `a refused request that comes again gets its own answer, whatever other requests the connection carried in between`() =
        copyingServer { refusal(id) }.use { server ->
            val between = listOf(0, 1, 5)
            between.forEach { count ->
                assertIs<AttemptResult.Shed>(send(server.address, "r$count"))
                repeat(count) { send(server.address, "between$count-$it").let { _ -> send(server.address, "between$count-$it") } }
                assertEquals(AttemptResult.Answered(200, null), send(server.address, "r$count"), "$count requests in between")
            }
        }

    @Test
    fun `a misdirected request that comes again to the same address gets its own answer`() =
        copyingServer { refusal(id, "421 Misdirected Request") }.use { server ->
            assertEquals(AttemptResult.Misdirected, send(server.address, "r1"))
            assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1"))
        }

    @Test
    fun `a request that comes again after a failure or a success never gets the earlier answer`() {
        listOf("500 Failed", "504 Late", "408 Slow").forEach { status ->
            copyingServer { "HTTP/1.1 $status\r\nRequest-Id: $id\r\nContent-Length: 0\r\n\r\n" }.use { server ->
                assertEquals(status.take(3).toInt(), assertIs<AttemptResult.Answered>(send(server.address, "r1")).status)
                assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1"), "after $status")
            }
        }
        copyingServer { success(id, "first") }.use { server ->
            repeat(2) { assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1")) }
            assertEquals(2, server.portsOf("r1").distinct().size, "the second answer came on a connection of its own")
        }
    }

    @Test
    fun `requests of two callers with the same id never share a connection`() =
        copyingServer { refusal(id).also { Thread.sleep(DELAY_MS) } }.use { server ->
            send(server.address, "other")
            val results = (1..4).map { start(server.address, "r1") }.map { it.get(5, TimeUnit.SECONDS) }
            assertTrue(results.all { it is AttemptResult.Shed || it is AttemptResult.Answered }, "found $results")
            repeat(3) { assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1")) }
            assertEquals(server.portsOf("r1").distinct(), server.portsOf("r1"))
        }

    @Test
    fun `an id of any length is told from others`() {
        val long = "x".repeat(8_000)
        copyingServer { refusal(id) }.use { server ->
            listOf(long + "a", long + "b", "a", "A").forEach { assertIs<AttemptResult.Shed>(send(server.address, it), it.take(9)) }
            listOf(long + "a", long + "b", "a", "A").forEach {
                assertEquals(AttemptResult.Answered(200, null), send(server.address, it), it.take(9))
            }
        }
    }

    /** The host stands still while the bytes arrive, so that it cannot close the connection before it uses it. */
    @Test
    fun `bytes that arrive before a request is sent do not say that it has not run`() {
        listOf("r1", "r2").forEach { nextId ->
            ScriptedServer { number ->
                write(if (number == 1) refusal(id) else success(id))
                if (number == 1) Thread.sleep(DELAY_MS).also { write(refusal(id)) }
            }.use { server ->
                assertIs<AttemptResult.Shed>(send(server.address, "r1"))
                val result = send(server.address, nextId, frozenMs = DELAY_MS * 3)
                assertTrue(!result.isNotRun, "$nextId after a refusal of r1: $result")
                if (nextId == "r1") assertEquals(AttemptResult.Answered(200, null), result)
            }
        }
    }

    @Test
    fun `a copy that arrives while the body of the next request is sent does not say that it has not run`() =
        EarlyServer { number ->
            when (number) {
                1 -> readBody(SMALL_BODY_BYTES).also { write(refusal(id)) }
                2 -> write(refusal("r1")).also { readBody(LARGE_BODY_BYTES) }
                else -> readBody(LARGE_BODY_BYTES).also { write(success(id)) }
            }
        }.use { server ->
            assertIs<AttemptResult.Shed>(send(server.address, "r1", ByteArray(SMALL_BODY_BYTES)))
            assertIs<AttemptResult.Unknown>(send(server.address, "r2", ByteArray(LARGE_BODY_BYTES)))
            assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1", ByteArray(LARGE_BODY_BYTES)))
            assertEquals(listOf(2, 1), server.requestsByConnection())
        }

    @Test
    fun `a refusal before the whole body has been sent counts, and its connection carries nothing more`() =
        EarlyServer { number ->
            if (number == 1) write(refusal(id)).also { Thread.sleep(DELAY_MS) }.also { write(refusal(id)) }
            readBody(LARGE_BODY_BYTES)
            if (number > 1) write(success(id))
        }.use { server ->
            assertIs<AttemptResult.Shed>(send(server.address, "r1", ByteArray(LARGE_BODY_BYTES)))
            assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1", ByteArray(LARGE_BODY_BYTES)))
            assertEquals(listOf(1, 1), server.requestsByConnection())
        }

    @Test
    fun `a refusal whose connection is reset counts only if it is whole, and says nothing about the next sending`() {
        listOf(refusal("r1"), refusal("r1").dropLast(2)).forEach { first ->
            ScriptedServer { number ->
                write(if (number == 1) first else success(id))
                if (number == 1) Thread.sleep(DELAY_MS).also { reset() }
            }.use { server ->
                assertEquals(first == refusal("r1"), send(server.address, "r1").isNotRun)
                Thread.sleep(DELAY_MS * 2)
                assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1"))
            }
        }
    }

    @Test
    fun `an interim response says nothing, whatever it states`() {
        val interim = "HTTP/1.1 100 Continue\r\nRequest-Id: r1\r\nNot-Executed: full\r\n\r\n"
        ScriptedServer { write(interim + success(id)) }.use { server ->
            assertEquals(AttemptResult.Answered(200, null), send(server.address, "r1"))
        }
        ScriptedServer { write(interim).also { socket.close() } }.use { server ->
            assertIs<AttemptResult.Unknown>(send(server.address, "r1"))
        }
    }

    @Test
    fun `an answer without id says nothing, and its connection carries nothing more`() =
        ScriptedServer { number ->
            write(if (number == 1) refusal(id).replace("Request-Id: $id\r\n", "") else success(id))
        }.use { server ->
            assertIs<AttemptResult.Unknown>(send(server.address, "r1"))
            assertEquals(AttemptResult.Answered(200, null), send(server.address, "r2"))
            assertTrue(
                server.requests
                    .map { it.socket.port }
                    .distinct()
                    .size == 2,
            )
        }

    /** Server whose [script] reads the body of each request itself, so that it may answer before; it gets the number of the request, from 1. */
    private class EarlyServer(
        private val script: Request.(number: Int) -> Unit,
    ) : AutoCloseable {
        class Request(
            private val socket: Socket,
            val id: String,
        ) {
            fun readBody(bytes: Int) = socket.getInputStream().skipNBytes(bytes.toLong())

            fun write(text: String) = socket.getOutputStream().write(text.toByteArray())
        }

        private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        private val ports = ArrayList<Int>()
        val address = HostAddress("127.0.0.1", server.localPort)

        init {
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    val socket = runCatching { server.accept() }.getOrNull() ?: break
                    thread(isDaemon = true) { runCatching { socket.use { while (true) serve(it) } } }
                }
            }
        }

        /** Returns the number of requests on each connection. */
        fun requestsByConnection(): List<Int> = synchronized(ports) { ports.groupingBy { it }.eachCount() }.values.toList()

        override fun close() = server.close()

        private fun serve(socket: Socket) {
            val request = Request(socket, readId(socket.getInputStream()))
            val number = synchronized(ports) { ports.add(socket.port).let { ports.size } }
            request.script(number)
        }

        private fun readId(input: InputStream): String {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                check(byte >= 0) { "the connection has ended" }
                head.append(byte.toChar())
            }
            return head.toString().substringAfter("Request-Id: ").substringBefore("\r\n")
        }
    }

    private companion object {
        const val BUFFER_BYTES = 8 * 1024
        const val DELAY_MS = 60L
        const val BACKLOG = 50
        const val SMALL_BODY_BYTES = 5

        /** Does not fit into the buffers of a connection. */
        const val LARGE_BODY_BYTES = 16 * 1024 * 1024
    }
}
