package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.undertow.server.DefaultByteBufferPool
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class EventLoopHttpClientTest {
    private val worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1))
    private val loop = worker.ioThread
    private val client =
        EventLoopHttpClient(loop, DefaultByteBufferPool(false, BUFFER_BYTES), MonotonicClock.system, maxAnswerBytes = 100_000)
    private val whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    @AfterTest
    fun stop() = worker.shutdown()

    private fun send(
        address: HostAddress,
        method: String = "GET",
        target: String = "/a",
        body: String = "",
        maxIdleMs: Long = Long.MAX_VALUE,
        timeoutMs: Long = 3_000,
    ): CallResult {
        val end = CompletableFuture<CallResult>()
        val call =
            HttpCall(
                address = address,
                method = method,
                target = target,
                headers = listOf("Host" to "shop.example"),
                body = body.toByteArray(),
                maxIdleMs = maxIdleMs,
                connectTimeoutMs = 500,
                timeoutMs = timeoutMs,
            )
        loop.execute { client.send(call) { end.complete(it) } }
        return end.get(5, TimeUnit.SECONDS)
    }

    /** Runs [check] against a server with [script]. */
    private fun withServer(
        script: ScriptedServer.Connection.(number: Int) -> Unit,
        check: (ScriptedServer) -> Unit,
    ) = ScriptedServer(script).use(check)

    private fun answered(end: CallResult) = assertIs<CallResult.Response>(end, (end as? CallResult.Incomplete)?.detail)

    @Test
    fun `target and body arrive as they were sent`() =
        withServer({ write(whole) }) { server ->
            val target = "/a/%7Eb//../c?x=%20y&z={1}"
            assertEquals("ok", String(answered(send(server.address, "POST", target, "some body")).body))
            val request = server.requests.single()
            assertEquals("POST $target HTTP/1.1", request.head.lineSequence().first())
            assertEquals("some body", request.body)
        }

    @Test
    fun `a kept connection is used again, unless a new one is asked for`() =
        withServer({ write(whole) }) { server ->
            repeat(2) { answered(send(server.address)) }
            answered(send(server.address, maxIdleMs = 0))
            val sockets = server.requests.map { it.socket.port }
            assertEquals(sockets[0], sockets[1])
            assertNotEquals(sockets[1], sockets[2])
        }

    @Test
    fun `a connection that the server closes is not used again`() =
        withServer({ write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok") }) { server ->
            repeat(2) { answered(send(server.address)) }
            assertEquals(
                2,
                server.requests
                    .map { it.socket.port }
                    .toSet()
                    .size,
            )
        }

    @Test
    fun `bytes that arrive on an idle connection end it`() =
        withServer({ number ->
            write(whole)
            if (number == 1) {
                Thread.sleep(EXTRA_DELAY_MS)
                write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            }
        }) { server ->
            answered(send(server.address))
            Thread.sleep(EXTRA_DELAY_MS * 3)
            assertEquals("ok", String(answered(send(server.address)).body))
            assertEquals(
                2,
                server.requests
                    .map { it.socket.port }
                    .toSet()
                    .size,
            )
        }

    @Test
    fun `an answer that ends early is broken`() =
        withServer({
            write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            socket.close()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }

    @Test
    fun `a chunked answer that ends early is broken`() =
        withServer({
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            socket.close()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }

    @Test
    fun `an answer without length is whole when its connection ends, and broken when that is reset`() {
        withServer({
            write("HTTP/1.1 200 OK\r\n\r\nall of it")
            socket.close()
        }) { server -> assertEquals("all of it", String(answered(send(server.address)).body)) }
        withServer({
            write("HTTP/1.1 200 OK\r\n\r\nnot all")
            Thread.sleep(EXTRA_DELAY_MS)
            reset()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }
    }

    @Test
    fun `bytes that are no answer are broken`() =
        withServer({
            write("nonsense\r\n\r\n")
            socket.close()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }

    @Test
    fun `a reset after the request was sent is broken, not unsent`() =
        withServer({ reset() }) { server -> assertIs<CallResult.Incomplete>(send(server.address, "POST", body = "x")) }

    @Test
    fun `a server that is not there got nothing`() {
        val port = ServerSocket(0).use { it.localPort }
        assertIs<CallResult.NotSent>(send(HostAddress("127.0.0.1", port)))
    }

    @Test
    fun `a server that stays silent is given up after the time-out`() =
        withServer({ }) { server -> assertIs<CallResult.Incomplete>(send(server.address, timeoutMs = 200)) }

    @Test
    fun `an answer beyond the limit is broken`() =
        withServer({ write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(200_000)) }) { server ->
            assertIs<CallResult.Incomplete>(send(server.address))
        }

    @Test
    fun `a request is sent once, whatever the answer`() {
        val statuses = listOf("503 Unavailable\r\nRetry-After: 0", "408 Timeout", "302 Found\r\nLocation: /b", "421 Misdirected")
        statuses.forEach { status ->
            withServer({ write("HTTP/1.1 $status\r\nContent-Length: 0\r\n\r\n") }) { server ->
                answered(send(server.address, "POST", body = "x"))
                Thread.sleep(EXTRA_DELAY_MS)
                assertEquals(1, server.requests.size, "after $status")
            }
        }
    }

    @Test
    fun `a cancelled call closes its connection and tells nothing`() =
        withServer({ }) { server ->
            val ended = CompletableFuture<CallResult>()
            val started = CompletableFuture<OngoingCall>()
            val call = HttpCall(server.address, "GET", "/a", connectTimeoutMs = 500)
            loop.execute { started.complete(client.send(call) { ended.complete(it) }) }
            while (server.requests.isEmpty()) Thread.sleep(10)
            loop.execute { started.get().cancel() }
            val socket = server.requests.single().socket
            socket.soTimeout = 2_000
            assertEquals(-1, socket.getInputStream().read())
            // A socket that is closed in both directions resets what its peer still sends.
            assertFailsWith<IOException> {
                repeat(20) {
                    server.requests
                        .single()
                        .write("x")
                        .also { Thread.sleep(10) }
                }
            }
            assertTrue(!ended.isDone)
        }

    private companion object {
        const val BUFFER_BYTES = 8 * 1024
        const val EXTRA_DELAY_MS = 60L
    }
}
