package io.kumquatmill.daemon

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.settings.loadSettings
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DaemonTest {
    private val opened = mutableListOf<AutoCloseable>()
    private val node = RelayNode()
    private val callerAddress = freeAddress()

    @AfterTest
    fun closeAll() = opened.reversed().forEach { it.close() }

    @Test
    fun `a request is forwarded without its key and answered as a whole`() {
        val worker = start { it.answer(body = "in stock") }

        val answer =
            call(
                "POST /orders?token=$KEY HTTP/1.1",
                "Authorization: Bearer $KEY",
                "X-Key: $KEY",
                "Kumquatmill-Workspace: other",
                body = "one",
            )

        assertContains(answer, "200 OK")
        assertTrue(answer.endsWith("in stock"), answer)
        val arrival = worker.arrivals.single()
        assertEquals("clinic", arrival.header("kumquatmill-workspace"))
        assertTrue(KEY !in arrival.head + arrival.body, arrival.head)
        assertEquals(KeyHash.of(KEY), arrived().single().keyHash)
    }

    @Test
    fun `a refusal says its outcome and when to come back`() {
        start { null }

        val answer = call("POST /orders HTTP/1.1", body = "one")

        assertContains(answer, "502")
        assertContains(answer, "Retry-After: 2")
        assertContains(answer, "\"outcome\":\"unknown\",\"retryAfterMs\":1500")
    }

    @Test
    fun `a body that is too large is refused whether its length is stated or not`() {
        val worker = start { it.answer() }
        val large = "x".repeat(MAX_BODY + 1)

        val stated = call("POST /orders HTTP/1.1", body = large)
        val chunked =
            exchange(
                "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${large.length.toString(16)}\r\n$large\r\n0\r\n\r\n",
            )

        assertContains(stated, "413")
        assertContains(chunked, "413")
        assertEquals(0, worker.arrivals.size)
    }

    @Test
    fun `malformed requests and heads that are too large are refused and never forwarded`() {
        val worker = start { it.answer() }

        assertContains(call("GET /orders HTTP/1.1", "Authorization: Basic abc"), "400")
        assertContains(call("POST /orders HTTP/1.1", "Authorization: Bearer $KEY", body = "key $KEY"), "malformed-request")
        assertTrue("200 OK" !in call("GET /orders HTTP/1.1", "X-Long: ${"x".repeat(20_000)}"))
        assertTrue("200 OK" !in exchange("no http at all\r\n\r\n"))
        assertEquals(0, worker.arrivals.size)
    }

    @Test
    fun `a caller that sends its body too slowly is refused`() {
        val worker = start { it.answer() }

        val answer = exchange("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")

        assertContains(answer, "400")
        assertContains(answer, "did not arrive within")
        assertEquals(0, worker.arrivals.size)
    }

    @Test
    fun `a caller that disconnects cancels its request at the worker`() {
        val release = CountDownLatch(1)
        val worker =
            start {
                release.await(WAIT_S, TimeUnit.SECONDS)
                it.answer()
            }
        val caller = Socket(callerAddress.ip, callerAddress.port)
        caller.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none".toByteArray())
        assertTrue(eventually { worker.arrivals.size == 1 }, "the request did not arrive")

        caller.close()

        assertTrue(eventually { node.events.any { it is NodeEvent.RequestCancelled } }, "events: ${node.events}")
        release.countDown()
        assertTrue(worker.connectionClosed.await(WAIT_S, TimeUnit.SECONDS), "the connection to the worker is open")
    }

    @Test
    fun `requests on one connection are answered in turn after a wait`() {
        start { it.answer(body = it.body) }
        Socket(callerAddress.ip, callerAddress.port).use { socket ->
            socket.soTimeout = WAIT_S.toInt() * 1_000
            listOf("first", "secnd").forEach { body ->
                socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n$body".toByteArray())
                val seen = StringBuilder()
                while (!seen.endsWith(body)) seen.append(socket.getInputStream().read().toChar())
                assertContains(seen, "200 OK")
            }
        }
    }

    @Test
    fun `a request sent before the answer to the one before is answered too`() {
        val isRunning = CountDownLatch(1)
        val release = CountDownLatch(1)
        start {
            isRunning.countDown()
            release.await(WAIT_S, TimeUnit.SECONDS)
            it.answer(body = it.body)
        }
        Socket(callerAddress.ip, callerAddress.port).use { socket ->
            socket.soTimeout = WAIT_S.toInt() * 1_000
            socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst".toByteArray())
            isRunning.await(WAIT_S, TimeUnit.SECONDS)
            socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsecnd".toByteArray())
            release.countDown()
            val seen = StringBuilder()
            while (!seen.endsWith("secnd")) seen.append(socket.getInputStream().read().toChar())

            assertTrue(seen.indexOf("first") in 0 until seen.indexOf("secnd"), seen.toString())
        }
    }

    @Test
    fun `a request that the node fails on is refused as not run`() {
        val worker = start { it.answer() }
        node.beforeRequest = { error("a fault of the node") }

        val answer = call("POST /orders HTTP/1.1", body = "one")

        assertContains(answer, "\"error\":\"internal-fault\"")
        assertContains(answer, "\"outcome\":\"not-run\"")
        assertEquals(0, worker.arrivals.size)
    }

    @Test
    fun `a full ring refuses at once`() {
        start { it.answer() }
        val block = CountDownLatch(1)
        node.beforeRequest = { block.await(WAIT_S, TimeUnit.SECONDS) }
        val waiting = List(RING * 2) { thread { call("GET /orders HTTP/1.1") } }

        val isRefused = eventually { "queue-full" in call("GET /orders HTTP/1.1", timeoutMs = 200) }
        block.countDown()
        waiting.forEach { it.join() }

        assertTrue(isRefused, "no request was refused")
    }

    @Test
    fun `a stop cuts no request`() {
        val isRunning = CountDownLatch(1)
        val release = CountDownLatch(1)
        start {
            isRunning.countDown()
            release.await(WAIT_S, TimeUnit.SECONDS)
            it.answer(body = "whole")
        }
        var answer = ""
        val caller = thread { answer = call("POST /orders HTTP/1.1", body = "one") }
        isRunning.await(WAIT_S, TimeUnit.SECONDS)

        val stop = thread { (opened.last() as Daemon).stop() }
        release.countDown()
        caller.join()
        stop.join()

        assertTrue(answer.endsWith("whole"), answer)
    }

    @Test
    fun `look-ups, status, metrics and health are answered`() {
        start { it.answer() }

        assertContains(call("GET /v1/entry-hosts HTTP/1.1"), "\"cacheMs\":5000")
        assertContains(call("GET /v1/status HTTP/1.1"), "\"lifecycle\":\"live\"")
        assertContains(call("GET /healthz HTTP/1.1"), "200 OK")
        assertContains(call("GET /metrics HTTP/1.1"), "kumquatmill_ring_depth")
    }

    @Test
    fun `the number of threads stays bounded under many callers`() {
        start { it.answer() }
        call("GET /orders HTTP/1.1")
        val before = Thread.activeCount()

        val sockets = List(200) { Socket(callerAddress.ip, callerAddress.port).also { opened.add(0, it) } }
        sockets.forEach { it.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n".toByteArray()) }

        assertTrue(Thread.activeCount() <= before + 10, "$before threads grew to ${Thread.activeCount()}")
    }

    private fun start(script: (Arrival) -> ByteArray?): ScriptedWorker {
        val worker = ScriptedWorker(script).also { opened += it }
        val daemon = Daemon(settingsFor(worker.address), node).also { opened += it }
        daemon.start()
        return worker
    }

    private fun settingsFor(worker: HostAddress): DaemonSettings {
        val file = createTempFile("daemon", ".ini")
        file.writeText(
            """
            [host]
            id = h1
            region = west
            availability-zone = west-1
            caller-address = $callerAddress
            peer-address = ${freeAddress()}
            [platform]
            store-addresses = ${freeAddress()}
            host-list-address = ${freeAddress()}
            store-region = west
            [availability-zones]
            west-1 = west
            [route.orders]
            path = /orders
            methods = POST
            upstream = orders
            idempotent = false
            [upstream.orders]
            slots = 3
            worker.o1 = west-1 $worker
            [shift]
            requests-per-s = 20
            [limits]
            max-body-bytes = $MAX_BODY
            body-timeout-ms = 300
            stop-timeout-ms = 5000
            [queues]
            ring-capacity = $RING
            [forward]
            load-interval-ms = 3600000
            """.trimIndent(),
        )
        return loadSettings(file).fold({ errors -> error(errors.joinToString("\n") { it.message }) }, { it })
    }

    private fun arrived() = node.events.filterIsInstance<NodeEvent.RequestArrived>()

    private fun call(
        line: String,
        vararg headers: String,
        body: String = "",
        timeoutMs: Int = WAIT_S.toInt() * 1_000,
    ): String {
        val head = listOf(line, "Host: a", "Connection: close", "Content-Length: ${body.length}") + headers
        return exchange(head.joinToString("\r\n") + "\r\n\r\n" + body, timeoutMs)
    }

    /** Sends [text] and returns all that comes back until the connection is closed or silent. */
    private fun exchange(
        text: String,
        timeoutMs: Int = WAIT_S.toInt() * 1_000,
    ): String =
        Socket(callerAddress.ip, callerAddress.port).use { socket ->
            socket.soTimeout = timeoutMs
            val seen = StringBuilder()
            try {
                socket.getOutputStream().write(text.toByteArray())
                generateSequence { socket.getInputStream().read().takeIf { it >= 0 } }.forEach { seen.append(it.toChar()) }
            } catch (_: java.io.IOException) {
                seen.append("")
            }
            seen.toString()
        }

    private fun eventually(check: () -> Boolean): Boolean = (1..ATTEMPTS).any { check() || Thread.sleep(ATTEMPT_MS).let { false } }

    private fun freeAddress(): HostAddress = HostAddress("127.0.0.1", ServerSocket(0).use { it.localPort })

    private companion object {
        const val KEY = "key-of-a-carer-1234"
        const val MAX_BODY = 1_000
        const val RING = 4
        const val WAIT_S = 5L
        const val ATTEMPTS = 100
        const val ATTEMPT_MS = 20L
    }
}
