package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.net.ReservedPorts
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.caller.HttpHeaderNames
import io.kumquatmill.gateway.caller.classifyResponse
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.crash.ProbeResult
import io.undertow.server.DefaultByteBufferPool
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class EventLoopHttpClientTest {
    private val xnioWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1))
    private val loop = xnioWorker.ioThread
    private val connectionNeeds = CopyOnWriteArrayList<ConnectionNeed>()
    private val client =
        EventLoopHttpClient(
            loop,
            DefaultByteBufferPool(false, BUFFER_BYTES),
            MonotonicClock.system,
            ResponseBuffers(maxResponseBytes = 100_000),
            onConnectionNeeded = { connectionNeeds += it },
        )
    private val okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    @AfterTest
    fun stop() = xnioWorker.shutdown()

    private fun send(
        address: HostAddress,
        method: String = "GET",
        target: String = "/a",
        body: String = "",
        maxConnectionIdleMs: Long = Long.MAX_VALUE,
        timeoutMs: Long = 3_000,
        requestId: String? = null,
        isOwnResponse: (CallResult.Response) -> Boolean = { true },
    ): CallResult {
        val result = CompletableFuture<CallResult>()
        val call =
            HttpCall(
                address = address,
                method = method,
                target = target,
                headers = listOf("Host" to "shop.example"),
                body = body.toByteArray(),
                maxConnectionIdleMs = maxConnectionIdleMs,
                connectTimeoutMs = 500,
                timeoutMs = timeoutMs,
                requestId = requestId,
                isOwnResponse = isOwnResponse,
            )
        loop.execute { client.send(call) { result.complete(it) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    /** Runs [check] against a server that responds as [script] says. */
    private fun withServer(
        script: ScriptedServer.Connection.(number: Int) -> Unit,
        check: (ScriptedServer) -> Unit,
    ) = ScriptedServer(script).use(check)

    private fun assertResponse(result: CallResult) = assertIs<CallResult.Response>(result, (result as? CallResult.Incomplete)?.detail)

    @Test
    fun `request target and body are sent unchanged`() =
        withServer({ write(okResponse) }) { server ->
            val target = "/a/%7Eb//../c?x=%20y&z={1}"
            assertEquals("ok", String(assertResponse(send(server.address, "POST", target, "some body")).body))
            val request = server.requests.single()
            assertEquals("POST $target HTTP/1.1", request.head.lineSequence().first())
            assertEquals("some body", request.body)
        }

    @Test
    fun `an idle connection is reused unless a new one is requested`() =
        withServer({ write(okResponse) }) { server ->
            repeat(2) { assertResponse(send(server.address)) }
            assertResponse(send(server.address, maxConnectionIdleMs = 0))
            val sockets = server.requests.map { it.socket.port }
            assertEquals(sockets[0], sockets[1])
            assertNotEquals(sockets[1], sockets[2])
        }

    /** Guards against the copy of an earlier answer that is taken for the answer to the same request. */
    @Test
    fun `a connection never carries a request twice`() =
        withServer({ write(okResponse) }) { server ->
            val ids = listOf("a", "b", "a", "b", "c", "a", "c")
            val uses = ids.map { assertNotNull(assertResponse(send(server.address, requestId = it)).use) }
            assertTrue(uses.none { it.isRepeat }, "found $uses")
            val carried = ids.zip(server.requests) { id, request -> id to request.socket.port }
            assertEquals(carried.distinct(), carried)
            val needs = listOf(ConnectionNeed.NONE_IDLE, ConnectionNeed.REPEAT, ConnectionNeed.REPEAT)
            assertEquals<List<ConnectionNeed>>(needs, connectionNeeds, "new connections only where an id comes again")
        }

    @Test
    fun `a connection is closed after as many requests as it can remember`() =
        withServer({ write(okResponse) }) { server ->
            repeat(2 * MAX_CARRIED + 1) { assertResponse(send(server.address, requestId = "r$it")) }
            val requestsByPort = server.requests.groupingBy { it.socket.port }.eachCount()
            assertEquals(listOf(MAX_CARRIED, MAX_CARRIED, 1), requestsByPort.values.sortedDescending())
        }

    @Test
    fun `a connection that the server announces to close is not reused`() =
        withServer({ write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok") }) { server ->
            repeat(2) { assertResponse(send(server.address)) }
            assertEquals(
                2,
                server.requests
                    .map { it.socket.port }
                    .toSet()
                    .size,
            )
        }

    /** Guards against a connection on which each request gets the answer to the one before. */
    @Test
    fun `a connection that brought the answer to another request is not reused`() =
        withServer({ number ->
            val own = "HTTP/1.1 200 OK\r\nId: $target\r\nContent-Length: 0\r\n\r\n"
            write(if (number == 1) own.replace(target, "/order-0") else own)
            if (number == 1) thread { Thread.sleep(EXTRA_DELAY_MS).also { runCatching { write(own) } } }
        }) { server ->
            val answers =
                (1..4).map { number ->
                    val isOwn = { response: CallResult.Response -> response.header("Id") == "/order-$number" }
                    isOwn(assertResponse(send(server.address, target = "/order-$number", isOwnResponse = isOwn)))
                }
            assertEquals(listOf(false, true, true, true), answers)
            assertNotEquals(server.requests[0].socket.port, server.requests[1].socket.port)
        }

    @Test
    fun `a connection on which more bytes follow a response is not reused`() =
        withServer({ write(okResponse + "HTTP/1.1 503 Fu") }) { server ->
            repeat(2) { assertEquals("ok", String(assertResponse(send(server.address)).body)) }
            assertNotEquals(server.requests[0].socket.port, server.requests[1].socket.port)
        }

    /** Guards against requests that have run and get no answer before their deadline. */
    @Test
    fun `a status line with more than three digits fails the call at once`() =
        withServer({ write("HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok") }) { server ->
            val startedAtMs = System.currentTimeMillis()
            assertIs<CallResult.Incomplete>(send(server.address))
            assertTrue(System.currentTimeMillis() - startedAtMs < 1_000)
        }

    @Test
    fun `a connection that receives bytes while idle is not reused`() =
        withServer({ number ->
            write(okResponse)
            if (number == 1) {
                Thread.sleep(EXTRA_DELAY_MS)
                write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            }
        }) { server ->
            assertResponse(send(server.address))
            Thread.sleep(EXTRA_DELAY_MS * 3)
            assertEquals("ok", String(assertResponse(send(server.address)).body))
            assertEquals(
                2,
                server.requests
                    .map { it.socket.port }
                    .toSet()
                    .size,
            )
        }

    @Test
    fun `a response that ends early is incomplete`() =
        withServer({
            write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            socket.close()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }

    @Test
    fun `a chunked response that ends early is incomplete`() =
        withServer({
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            socket.close()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }

    @Test
    fun `a response that ends before its head is complete is never delivered, wherever it ends`() {
        val responses =
            listOf(
                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 12\r\n\r\ntwelve bytes",
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\ntwelve bytes",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
            )
        responses.forEach { response ->
            (1 until response.length).forEach { length ->
                withServer({
                    write(response.take(length))
                    socket.close()
                }) { server -> assertIs<CallResult.Incomplete>(send(server.address), "after '${response.take(length)}'") }
            }
        }
    }

    @Test
    fun `an earlier refusal that is written once more does not say that the next request has not run`() {
        val headerNames = HttpHeaderNames("Request-Id", "d", "a", "w", "e", "load", "limit", "Not-Executed", "Server-Stamp")
        val refusal = "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n"
        val lateCopies = listOf(refusal, refusal.replace("503 Full", "421 Misdirected"), refusal.replace("Request-Id: r1\r\n", ""))
        lateCopies.forEach { lateCopy ->
            withServer({ number -> write(if (number == 1) refusal else lateCopy + okResponse) }) { server ->
                val first = assertIs<CallResult.Response>(send(server.address, "POST", body = "x"))
                assertIs<AttemptResult.Shed>(classifyResponse(first, "r1", headerNames))
                val second = assertIs<CallResult.Response>(send(server.address, "POST", body = "x"))
                assertEquals(
                    1,
                    server.requests
                        .map { it.socket.port }
                        .toSet()
                        .size,
                    "expected a kept connection",
                )
                assertIs<AttemptResult.Unknown>(classifyResponse(second, "r2", headerNames), lateCopy)
                Thread.sleep(EXTRA_DELAY_MS)
                assertEquals(2, server.requests.size)
                send(server.address)
                assertEquals(
                    2,
                    server.requests
                        .map { it.socket.port }
                        .toSet()
                        .size,
                    "expected a new connection",
                )
            }
        }
    }

    @Test
    fun `a response without length is complete when its connection closes and incomplete when it is reset`() {
        withServer({
            write("HTTP/1.1 200 OK\r\n\r\nall of it")
            socket.close()
        }) { server -> assertEquals("all of it", String(assertResponse(send(server.address)).body)) }
        withServer({
            write("HTTP/1.1 200 OK\r\n\r\nnot all")
            Thread.sleep(EXTRA_DELAY_MS)
            reset()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }
    }

    @Test
    fun `a call whose response is not valid HTTP is incomplete`() =
        withServer({
            write("nonsense\r\n\r\n")
            socket.close()
        }) { server -> assertIs<CallResult.Incomplete>(send(server.address)) }

    @Test
    fun `a call whose connection is reset after the request was sent is incomplete`() =
        withServer({ reset() }) { server -> assertIs<CallResult.Incomplete>(send(server.address, "POST", body = "x")) }

    @Test
    fun `a refused connection is reported as not sent`() {
        val port = ReservedPorts.next()
        assertIs<CallResult.NotSent>(send(HostAddress("127.0.0.1", port)))
    }

    @Test
    fun `a connection counts as lost only if it ends before the head of a response`() {
        val isLost =
            listOf<ScriptedServer.Connection.() -> Unit>(
                { reset() },
                { socket.close() },
                { write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").also { socket.close() } },
            ).map { end ->
                var result: CallResult? = null
                withServer({ end() }) { result = send(it.address) }
                assertIs<CallResult.Incomplete>(result).isConnectionLost
            }
        assertEquals(listOf(true, true, false), isLost)
        withServer({ }) { server ->
            val result = assertIs<CallResult.Incomplete>(send(server.address, timeoutMs = 200))
            assertEquals(false, result.isConnectionLost, "no response in time")
        }
    }

    private fun probe(address: HostAddress): ProbeResult {
        val result = CompletableFuture<ProbeResult>()
        loop.execute { client.probe(address, timeoutMs = 500) { result.complete(it) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    @Test
    fun `a probe tells whether a process listens at an address, and sends it nothing`() {
        val port = ReservedPorts.next()
        assertEquals(ProbeResult.REFUSED, probe(HostAddress("127.0.0.1", port)))
        assertEquals(true, assertIs<CallResult.NotSent>(send(HostAddress("127.0.0.1", port))).isRefused)
        withServer({ }) { server ->
            assertEquals(ProbeResult.ACCEPTED, probe(server.address))
            Thread.sleep(EXTRA_DELAY_MS)
            assertEquals(0, server.requests.size)
        }
    }

    @Test
    fun `a call to a server that does not respond is incomplete after the timeout`() =
        withServer({ }) { server -> assertIs<CallResult.Incomplete>(send(server.address, timeoutMs = 200)) }

    @Test
    fun `a response larger than the limit is incomplete`() =
        withServer({ write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(200_000)) }) { server ->
            assertIs<CallResult.Incomplete>(send(server.address))
        }

    @Test
    fun `a request is sent once whatever the response status`() {
        val statuses = listOf("503 Unavailable\r\nRetry-After: 0", "408 Timeout", "302 Found\r\nLocation: /b", "421 Misdirected")
        statuses.forEach { status ->
            withServer({ write("HTTP/1.1 $status\r\nContent-Length: 0\r\n\r\n") }) { server ->
                assertResponse(send(server.address, "POST", body = "x"))
                Thread.sleep(EXTRA_DELAY_MS)
                assertEquals(1, server.requests.size, "after $status")
            }
        }
    }

    @Test
    fun `a cancelled call closes its connection and reports no result`() =
        withServer({ }) { server ->
            val callResult = CompletableFuture<CallResult>()
            val ongoingCall = CompletableFuture<OngoingCall>()
            val call = HttpCall(server.address, "GET", "/a", connectTimeoutMs = 500)
            loop.execute { ongoingCall.complete(client.send(call) { callResult.complete(it) }) }
            while (server.requests.isEmpty()) Thread.sleep(10)
            loop.execute { ongoingCall.get().cancel() }
            val socket = server.requests.single().socket
            socket.soTimeout = 2_000
            assertEquals(-1, socket.getInputStream().read())
            // A socket that is closed in both directions resets the connection when its peer still sends.
            assertFailsWith<IOException> {
                repeat(20) {
                    server.requests
                        .single()
                        .write("x")
                        .also { Thread.sleep(10) }
                }
            }
            assertTrue(!callResult.isDone)
        }

    private companion object {
        const val MAX_CARRIED = 512
        const val BUFFER_BYTES = 8 * 1024
        const val EXTRA_DELAY_MS = 60L
    }
}
