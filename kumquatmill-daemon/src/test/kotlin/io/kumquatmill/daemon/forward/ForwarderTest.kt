package io.kumquatmill.daemon.forward

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.daemon.Arrival
import io.kumquatmill.daemon.ScriptedWorker
import io.kumquatmill.daemon.caller.PendingRequest
import io.kumquatmill.daemon.caller.UpstreamRequest
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.AttemptResult
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.ForwardSettings
import org.http4k.core.Method
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ForwarderTest {
    private val opened = mutableListOf<AutoCloseable>()
    private val ends = LinkedBlockingQueue<AttemptResult>()
    private var nowMs = 0L
    private var lastAttempt = 0L
    private lateinit var lastPending: PendingRequest

    @AfterTest
    fun closeAll() = opened.forEach { it.close() }

    @Test
    fun `answers that a client may repeat by itself arrive once`() {
        val repeatable =
            listOf(
                "503 Busy" to "Retry-After: 0",
                "408 Timeout" to "Retry-After: 0",
                "302 Found" to "Location: /x",
                "307 Temporary" to "Location: /x",
            )

        repeatable.forEach { (status, header) ->
            val worker = worker { it.answer(status, headers = listOf(header)) }
            val forwarder = forwarderTo(worker.address)
            listOf(Method.GET, Method.DELETE, Method.POST).forEach { method ->
                val end = forwarder.attempt(method = method)

                assertIs<AttemptResult.Answered>(end, "$method answered with $status")
            }
            assertEquals(3, worker.arrivals.size, "arrivals of 3 requests answered with $status")
        }
    }

    @Test
    fun `a request on a pooled connection that breaks is sent once and its outcome is unknown`() {
        val worker = worker { if (it.body == "second") null else it.answer() }
        val forwarder = forwarderTo(worker.address)
        forwarder.attempt(body = "first")

        val end = forwarder.attempt(body = "second")

        assertIs<AttemptResult.Unknown>(end)
        assertEquals(listOf("first", "second"), worker.arrivals.map { it.body })
        assertEquals(listOf(1, 1), worker.arrivals.map { it.connection })
    }

    @Test
    fun `a request that may not be repeated avoids a connection that has not answered lately`() {
        val worker = worker { it.answer() }
        val forwarder = forwarderTo(worker.address)
        forwarder.attempt()
        nowMs += FRESH_MS
        forwarder.attempt(needsFreshConnection = true)
        nowMs += FRESH_MS + 1

        forwarder.attempt(needsFreshConnection = true)

        assertEquals(listOf(1, 1, 2), worker.arrivals.map { it.connection })
    }

    @Test
    fun `without that need an old connection is used again`() {
        val worker = worker { it.answer() }
        val forwarder = forwarderTo(worker.address)
        forwarder.attempt()
        nowMs += FRESH_MS + 1

        forwarder.attempt(needsFreshConnection = false)

        assertEquals(listOf(1, 1), worker.arrivals.map { it.connection })
    }

    @Test
    fun `a cut answer is unknown and never kept`() = assertUnknown { it.answer(length = 100).also { _ -> closeAfterAnswer = true } }

    @Test
    fun `an answer to another request is unknown and never kept`() = assertUnknown { it.answer(id = "other") }

    @Test
    fun `an answer without an end that can be checked is unknown`() =
        assertUnknown {
            "HTTP/1.1 200 OK\r\nkumquatmill-request-id: ${it.requestId}\r\n\r\nhalf".toByteArray().also {
                closeAfterAnswer =
                    true
            }
        }

    @Test
    fun `an answer above the size limit is unknown`() = assertUnknown { it.answer(body = "x".repeat(MAX_ANSWER_BYTES + 1)) }

    @Test
    fun `a late answer is unknown and does not reach the next request`() {
        val release = CountDownLatch(1)
        val worker =
            worker {
                if (it.body == "late") release.await()
                it.answer(body = it.body)
            }
        val forwarder = forwarderTo(worker.address)

        val late = forwarder.attempt(body = "late", timeoutMs = 100)
        release.countDown()
        val next = forwarder.attempt(body = "next")

        assertIs<AttemptResult.Unknown>(late)
        assertEquals(AttemptResult.Answered(200, 4), next)
        assertEquals("next", lastPending.take(AttemptId(lastAttempt))?.bodyString())
    }

    @Test
    fun `a refused connection is provably not sent`() {
        val free = ServerSocket(0).use { it.localPort }

        assertEquals(AttemptResult.NotSent, forwarderTo(HostAddress("127.0.0.1", free)).attempt())
    }

    @Test
    fun `a worker's own refusal is shed with its draining mark and time`() {
        val worker =
            worker {
                it.answer("503 Busy", headers = listOf("kumquatmill-outcome: not-run", "kumquatmill-draining: true", "Retry-After: 2"))
            }

        assertEquals(AttemptResult.Shed(retryAfterMs = 2_000, isDraining = true), forwarderTo(worker.address).attempt())
    }

    @Test
    fun `a cancelled attempt closes its connection`() {
        val quietWorker = ServerSocket(0).also { opened += it }
        val forwarder = forwarderTo(HostAddress("127.0.0.1", quietWorker.localPort))
        forwarder.start(Method.POST, "order", false, WAIT_MS)
        val connection = quietWorker.accept().also { opened += it }
        connection.soTimeout = WAIT_MS.toInt()
        val input = connection.getInputStream()
        input.read()

        forwarder.cancel(AttemptId(lastAttempt))

        assertTrue(generateSequence { input.read() }.first { it < 0 } < 0)
        assertIs<AttemptResult.Unknown>(ends.poll(WAIT_MS, TimeUnit.MILLISECONDS))
    }

    private var closeAfterAnswer = false

    private fun assertUnknown(script: (Arrival) -> ByteArray) {
        lateinit var worker: ScriptedWorker
        worker = worker { arrival -> script(arrival).also { if (closeAfterAnswer) closeSoon(worker) } }

        val end = forwarderTo(worker.address).attempt()

        assertIs<AttemptResult.Unknown>(end)
        assertNull(lastPending.take(AttemptId(lastAttempt)), "the answer was kept")
        assertEquals(1, worker.arrivals.size)
    }

    private fun closeSoon(worker: ScriptedWorker) {
        kotlin.concurrent.thread(isDaemon = true) {
            Thread.sleep(CLOSE_DELAY_MS)
            worker.close()
        }
    }

    private fun worker(script: (Arrival) -> ByteArray?): ScriptedWorker = ScriptedWorker(script).also { opened += it }

    private fun forwarderTo(address: HostAddress): Forwarder {
        val worker = Worker(workerId, UpstreamId("orders"), RegionId("west"), AvailabilityZoneId("west-1"), address, slots = 3)
        return Forwarder(
            workers = mapOf(workerId to worker),
            settings = ForwardSettings(WAIT_MS, FRESH_MS, WAIT_MS, WAIT_MS, WAIT_MS),
            maxAttempts = 4,
            maxAnswerBytes = MAX_ANSWER_BYTES.toLong(),
            clock = { nowMs },
            onEnd = { _, result -> ends += result },
        ).also { opened += it }
    }

    private fun Forwarder.attempt(
        method: Method = Method.POST,
        body: String = if (method == Method.POST) "order" else "",
        needsFreshConnection: Boolean = false,
        timeoutMs: Long = WAIT_MS,
    ): AttemptResult? {
        start(method, body, needsFreshConnection, timeoutMs)
        return ends.poll(2 * WAIT_MS, TimeUnit.MILLISECONDS)
    }

    private fun Forwarder.start(
        method: Method,
        body: String,
        needsFreshConnection: Boolean,
        timeoutMs: Long,
    ) {
        lastAttempt += 1
        val request = RequestId("r$lastAttempt")
        lastPending = PendingRequest(request, UpstreamRequest(method, "/orders", emptyList(), body.toByteArray()), 0) { }
        forward(NodeEffect.Forward(AttemptId(lastAttempt), request, workerId, null, timeoutMs, needsFreshConnection), lastPending)
    }

    private companion object {
        const val WAIT_MS = 5_000L
        const val FRESH_MS = 1_000L
        const val CLOSE_DELAY_MS = 100L
        const val MAX_ANSWER_BYTES = 10_000
        val workerId = WorkerId("w1")
    }
}
