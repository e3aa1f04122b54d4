package io.kumquatmill.daemon

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.net.ReservedPorts
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.settings.loadSettings
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
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
    private val resources = mutableListOf<AutoCloseable>()
    private val node = FakeEntryNode()
    private val callerAddress = freeAddress()

    @AfterTest
    fun closeAll() = resources.reversed().forEach { it.close() }

    @Test
    fun `a request is forwarded without its key and the complete response is returned`() {
        val worker = startDaemon { it.response(body = "in stock") }

        val response =
            sendRequest(
                "POST /orders?token=$KEY HTTP/1.1",
                "Authorization: Bearer $KEY",
                "X-Key: $KEY",
                "Kumquatmill-Workspace: other",
                body = "one",
            )

        assertContains(response, "200 OK")
        assertTrue(response.endsWith("in stock"), response)
        val received = worker.receivedRequests.single()
        assertEquals("clinic", received.header("kumquatmill-workspace"))
        assertTrue(KEY !in received.head + received.body, received.head)
        assertEquals(KeyHash.of(KEY), requestEvents().single().keyHash)
    }

    @Test
    fun `a refusal contains its outcome and the time to retry after`() {
        startDaemon { null }

        val response = sendRequest("POST /orders HTTP/1.1", body = "one")

        assertContains(response, "502")
        assertContains(response, "Retry-After: 2")
        assertContains(response, "\"outcome\":\"unknown\",\"retryAfterMs\":1500")
    }

    @Test
    fun `a body that is too large is refused with and without a Content-Length`() {
        val worker = startDaemon { it.response() }
        val large = "x".repeat(MAX_BODY_BYTES + 1)

        val withLength = sendRequest("POST /orders HTTP/1.1", body = large)
        val chunked =
            sendRaw(
                "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${large.length.toString(16)}\r\n$large\r\n0\r\n\r\n",
            )

        assertContains(withLength, "413")
        assertContains(chunked, "413")
        assertEquals(0, worker.receivedRequests.size)
    }

    @Test
    fun `malformed requests and oversized headers are refused and never forwarded`() {
        val worker = startDaemon { it.response() }

        assertContains(sendRequest("GET /orders HTTP/1.1", "Authorization: Basic abc"), "400")
        assertContains(sendRequest("POST /orders HTTP/1.1", "Authorization: Bearer $KEY", body = "key $KEY"), "malformed-request")
        assertTrue("200 OK" !in sendRequest("GET /orders HTTP/1.1", "X-Long: ${"x".repeat(20_000)}"))
        assertTrue("200 OK" !in sendRaw("no http at all\r\n\r\n"))
        assertEquals(0, worker.receivedRequests.size)
    }

    @Test
    fun `a caller that sends its body too slowly is refused`() {
        val worker = startDaemon { it.response() }

        val response = sendRaw("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")

        assertContains(response, "400")
        assertContains(response, "did not arrive within")
        assertEquals(0, worker.receivedRequests.size)
    }

    /** Guards against a worker that goes on with a request that nobody waits for. */
    @Test
    fun `a caller that disconnects cancels its request at the worker`() {
        val release = CountDownLatch(1)
        val worker =
            startDaemon {
                release.await(TIMEOUT_S, TimeUnit.SECONDS)
                it.response()
            }
        val caller = Socket(callerAddress.ip, callerAddress.port)
        caller.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none".toByteArray())
        // A request that is not forwarded is refused.
        assertTrue(eventually { worker.receivedRequests.size == 1 || caller.getInputStream().available() > 0 }, "no request and no refusal")
        assertEquals(1, worker.receivedRequests.size, "the worker did not receive the request")

        caller.close()

        assertTrue(eventually { node.events.any { it is NodeEvent.RequestCancelled } }, "events: ${node.events}")
        release.countDown()
        assertTrue(worker.connectionClosed.await(TIMEOUT_S, TimeUnit.SECONDS), "the connection to the worker is still open")
    }

    @Test
    fun `sequential requests on one connection are all answered`() {
        startDaemon { it.response(body = it.body) }
        Socket(callerAddress.ip, callerAddress.port).use { socket ->
            socket.soTimeout = TIMEOUT_S.toInt() * 1_000
            listOf("first", "secnd").forEach { body ->
                socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n$body".toByteArray())
                val received = StringBuilder()
                while (!received.endsWith(body)) received.append(socket.getInputStream().read().toChar())
                assertContains(received, "200 OK")
            }
        }
    }

    @Test
    fun `a request pipelined before the previous response is answered in order`() {
        val isRunning = CountDownLatch(1)
        val release = CountDownLatch(1)
        startDaemon {
            isRunning.countDown()
            release.await(TIMEOUT_S, TimeUnit.SECONDS)
            it.response(body = it.body)
        }
        Socket(callerAddress.ip, callerAddress.port).use { socket ->
            socket.soTimeout = TIMEOUT_S.toInt() * 1_000
            socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst".toByteArray())
            isRunning.await(TIMEOUT_S, TimeUnit.SECONDS)
            socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsecnd".toByteArray())
            release.countDown()
            val received = StringBuilder()
            while (!received.endsWith("secnd")) received.append(socket.getInputStream().read().toChar())

            assertTrue(received.indexOf("first") in 0 until received.indexOf("secnd"), received.toString())
        }
    }

    @Test
    fun `a request is refused as not run when the node throws`() {
        val worker = startDaemon { it.response() }
        node.beforeRequest = { error("injected node failure") }

        val response = sendRequest("POST /orders HTTP/1.1", body = "one")

        assertContains(response, "\"error\":\"internal-fault\"")
        assertContains(response, "\"outcome\":\"not-run\"")
        assertEquals(0, worker.receivedRequests.size)
    }

    @Test
    fun `a request is refused immediately when the queue is full`() {
        startDaemon { it.response() }
        val unblock = CountDownLatch(1)
        node.beforeRequest = { unblock.await(TIMEOUT_S, TimeUnit.SECONDS) }
        val blockedCallers = List(QUEUE_CAPACITY * 2) { thread { sendRequest("GET /orders HTTP/1.1") } }

        val isRefused = eventually { "queue-full" in sendRequest("GET /orders HTTP/1.1", timeoutMs = 200) }
        unblock.countDown()
        blockedCallers.forEach { it.join() }

        assertTrue(isRefused, "no request was refused")
    }

    @Test
    fun `stopping the daemon interrupts no request`() {
        val isRunning = CountDownLatch(1)
        val release = CountDownLatch(1)
        startDaemon {
            isRunning.countDown()
            release.await(TIMEOUT_S, TimeUnit.SECONDS)
            it.response(body = "whole")
        }
        var response = ""
        val caller = thread { response = sendRequest("POST /orders HTTP/1.1", body = "one") }
        isRunning.await(TIMEOUT_S, TimeUnit.SECONDS)

        val stop = thread { (resources.last() as Daemon).stop() }
        release.countDown()
        caller.join()
        stop.join()

        assertTrue(response.endsWith("whole"), response)
    }

    /** Guards against a response that is cut by a reset, because its caller sends more behind it while the daemon closes the connection. */
    @Test
    fun `a stop cuts no response that is read slowly while more is sent behind it`() {
        val isRunning = CountDownLatch(1)
        val release = CountDownLatch(1)
        startDaemon {
            isRunning.countDown()
            release.await(TIMEOUT_S, TimeUnit.SECONDS)
            it.response(body = "x".repeat(LARGE_RESPONSE_BYTES))
        }
        Socket().use { socket ->
            socket.receiveBufferSize = 4_096
            socket.soTimeout = TIMEOUT_S.toInt() * 1_000
            socket.connect(InetSocketAddress(callerAddress.ip, callerAddress.port))
            val request = "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none".toByteArray()
            socket.getOutputStream().write(request)
            isRunning.await(TIMEOUT_S, TimeUnit.SECONDS)
            val stop = thread { (resources.last() as Daemon).stop() }
            release.countDown()
            var received = 0
            for (part in generateSequence { socket.getInputStream().readNBytes(PART_BYTES).takeIf { it.isNotEmpty() } }) {
                received += part.size
                if (received in LARGE_RESPONSE_BYTES / 2..LARGE_RESPONSE_BYTES) socket.getOutputStream().write(request)
                Thread.sleep(2)
            }
            socket.close()
            stop.join()
            assertTrue(received > LARGE_RESPONSE_BYTES, "found $received bytes")
        }
    }

    /** Guards against memory that fills with responses that idle connections hold although they were written completely. */
    @Test
    fun `idle connections hold no responses`() {
        startDaemon { it.response(body = "x".repeat(LARGE_RESPONSE_BYTES)) }

        fun openIdle(count: Int) =
            repeat(count) {
                val socket = Socket(callerAddress.ip, callerAddress.port).also { resources.add(0, it) }
                socket.soTimeout = TIMEOUT_S.toInt() * 1_000
                socket.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none".toByteArray())
                var received = 0
                while (received < LARGE_RESPONSE_BYTES) received += socket.getInputStream().readNBytes(PART_BYTES).size
            }
        openIdle(10)
        val before = usedHeapBytes()
        openIdle(20)
        val held = usedHeapBytes() - before
        assertTrue(held < 5 * LARGE_RESPONSE_BYTES, "20 more idle connections hold $held bytes")
    }

    private fun usedHeapBytes(): Long {
        val memory = ManagementFactory.getMemoryMXBean()
        repeat(2) { memory.gc() }
        return memory.heapMemoryUsage.used
    }

    @Test
    fun `lookup, status, health and metrics endpoints respond`() {
        startDaemon { it.response() }

        assertContains(sendRequest("GET /v1/entry-hosts HTTP/1.1"), "\"cacheMs\":5000")
        assertContains(sendRequest("GET /v1/status HTTP/1.1"), "\"lifecycle\":\"live\"")
        assertContains(sendRequest("GET /healthz HTTP/1.1"), "200 OK")
        assertContains(sendRequest("GET /metrics HTTP/1.1"), "kumquatmill_ring_depth")
    }

    @Test
    fun `the number of threads stays bounded with many connections`() {
        startDaemon { it.response() }
        sendRequest("GET /orders HTTP/1.1")
        val before = Thread.activeCount()

        val sockets = List(200) { Socket(callerAddress.ip, callerAddress.port).also { resources.add(0, it) } }
        sockets.forEach { it.getOutputStream().write("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n".toByteArray()) }

        assertTrue(Thread.activeCount() <= before + 10, "the number of threads grew from $before to ${Thread.activeCount()}")
    }

    private fun startDaemon(script: (ReceivedRequest) -> ByteArray?): ScriptedWorker {
        val worker = ScriptedWorker(script).also { resources += it }
        val daemon = Daemon(settingsFor(worker.address), node).also { resources += it }
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
            max-body-bytes = $MAX_BODY_BYTES
            body-timeout-ms = 300
            stop-timeout-ms = 5000
            [queues]
            ring-capacity = $QUEUE_CAPACITY
            [forward]
            load-interval-ms = 3600000
            """.trimIndent(),
        )
        return loadSettings(file).fold({ errors -> error(errors.joinToString("\n") { it.message }) }, { it })
    }

    private fun requestEvents() = node.events.filterIsInstance<NodeEvent.RequestArrived>()

    private fun sendRequest(
        requestLine: String,
        vararg headers: String,
        body: String = "",
        timeoutMs: Int = TIMEOUT_S.toInt() * 1_000,
    ): String {
        val head = listOf(requestLine, "Host: a", "Connection: close", "Content-Length: ${body.length}") + headers
        return sendRaw(head.joinToString("\r\n") + "\r\n\r\n" + body, timeoutMs)
    }

    /** Sends [text] and returns everything received until the connection is closed or the read times out. */
    private fun sendRaw(
        text: String,
        timeoutMs: Int = TIMEOUT_S.toInt() * 1_000,
    ): String =
        Socket(callerAddress.ip, callerAddress.port).use { socket ->
            socket.soTimeout = timeoutMs
            val received = StringBuilder()
            try {
                socket.getOutputStream().write(text.toByteArray())
                generateSequence { socket.getInputStream().read().takeIf { it >= 0 } }.forEach { received.append(it.toChar()) }
            } catch (_: java.io.IOException) {
                received.append("")
            }
            received.toString()
        }

    /** Returns whether [check] succeeds before [EVENT_TIMEOUT_S] has passed; how long it takes is not what is tested. */
    private fun eventually(check: () -> Boolean): Boolean {
        val deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_S)
        while (!check()) {
            if (System.nanoTime() > deadlineNs) return false
            Thread.sleep(POLL_INTERVAL_MS)
        }
        return true
    }

    private fun freeAddress(): HostAddress = HostAddress("127.0.0.1", ReservedPorts.next())

    private companion object {
        const val KEY = "key-of-a-carer-1234"
        const val MAX_BODY_BYTES = 1_000
        const val QUEUE_CAPACITY = 4
        const val LARGE_RESPONSE_BYTES = 1_000_000
        const val PART_BYTES = 10_000
        const val TIMEOUT_S = 5L

        /** 2 s were too short for a request to reach the worker while other processes took the cores. */
        const val EVENT_TIMEOUT_S = 60L
        const val POLL_INTERVAL_MS = 20L
    }
}
