package io.kumquatmill.daemon.forward

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.net.ReservedPorts
import io.kumquatmill.daemon.ReceivedRequest
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
    private val resources = mutableListOf<AutoCloseable>()
    private val results = LinkedBlockingQueue<AttemptResult>()
    private var nowMs = 0L
    private var lastAttempt = 0L
    private lateinit var lastPending: PendingRequest

    @AfterTest
    fun closeAll() = resources.forEach { it.close() }

    @Test
    fun `requests that an HTTP client might retry automatically are sent once`() {
        val retryableResponses =
            listOf(
                "503 Busy" to "Retry-After: 0",
                "408 Timeout" to "Retry-After: 0",
                "302 Found" to "Location: /x",
                "307 Temporary" to "Location: /x",
            )

        retryableResponses.forEach { (status, header) ->
            val worker = worker { it.response(status, headers = listOf(header)) }
            val forwarder = forwarderTo(worker.address)
            listOf(Method.GET, Method.DELETE, Method.POST).forEach { method ->
                val result = forwarder.runAttempt(method = method)

                assertIs<AttemptResult.Answered>(result, "$method answered with $status")
            }
            assertEquals(3, worker.receivedRequests.size, "number of requests received after 3 requests answered with $status")
        }
    }

    @Test
    fun `a request on a pooled connection that breaks is sent once and its result is unknown`() {
        val worker = worker { if (it.body == "second") null else it.response() }
        val forwarder = forwarderTo(worker.address)
        forwarder.runAttempt(body = "first")

        val result = forwarder.runAttempt(body = "second")

        assertIs<AttemptResult.Unknown>(result)
        assertEquals(listOf("first", "second"), worker.receivedRequests.map { it.body })
        assertEquals(listOf(1, 1), worker.receivedRequests.map { it.connection })
    }

    /** Guards against the start of an earlier refusal that is read as one with the answer behind it, so that an order runs twice. */
    @Test
    fun `the start of an earlier response is never read as one with the response behind it`() {
        val notRun = "kumquatmill-outcome: not-run"
        val earlier =
            listOf(
                "HTTP/1.1 503 Full\r\n$notRun\r\nkumquatmill-request-id: earlier\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Full\r\nkumquatmill-request-id: earlier\r\n$notRun\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nDate: now\r\nContent-Length: 0\r\n\r\n",
            )
        earlier.forEach { answer ->
            (1..answer.length).forEach { cut ->
                val worker = worker { answer.take(cut).toByteArray() + it.response("500 Failed") }
                val result = forwarderTo(worker.address).runAttempt(body = "order")
                val isHarmless = result is AttemptResult.Unknown || result is AttemptResult.Answered && result.status == 500
                assertTrue(isHarmless, "$result behind ${answer.take(cut)}")
            }
        }
    }

    @Test
    fun `a request that must not be repeated does not reuse a stale connection`() {
        val worker = worker { it.response() }
        val forwarder = forwarderTo(worker.address)
        forwarder.runAttempt()
        nowMs += FRESH_CONNECTION_MS
        forwarder.runAttempt(needsFreshConnection = true)
        nowMs += FRESH_CONNECTION_MS + 1

        forwarder.runAttempt(needsFreshConnection = true)

        assertEquals(listOf(1, 1, 2), worker.receivedRequests.map { it.connection })
    }

    @Test
    fun `a stale connection is reused when no fresh connection is needed`() {
        val worker = worker { it.response() }
        val forwarder = forwarderTo(worker.address)
        forwarder.runAttempt()
        nowMs += FRESH_CONNECTION_MS + 1

        forwarder.runAttempt(needsFreshConnection = false)

        assertEquals(listOf(1, 1), worker.receivedRequests.map { it.connection })
    }

    @Test
    fun `a truncated response is unknown and never stored`() =
        assertUnknown {
            it.response(length = 100).also { _ ->
                closeAfterResponse = true
            }
        }

    @Test
    fun `a response to another request is unknown and never stored`() = assertUnknown { it.response(id = "other") }

    @Test
    fun `a response whose length cannot be verified is unknown`() =
        assertUnknown {
            "HTTP/1.1 200 OK\r\nkumquatmill-request-id: ${it.requestId}\r\n\r\nhalf".toByteArray().also {
                closeAfterResponse = true
            }
        }

    @Test
    fun `a response above the size limit is unknown`() = assertUnknown { it.response(body = "x".repeat(MAX_RESPONSE_BYTES + 1)) }

    /** Guards against an answer that is forwarded with a status that no server may send. */
    @Test
    fun `a response with a status that no server may send is unknown and never stored`() {
        val statuses = listOf("000 No", "099 No", "101 No", "102 No", "199 No", "600 No", "999 No", "200OK", "2000 OK", "200\tOK", "-20 No")
        val forwarded =
            statuses.filter { status ->
                val worker = worker { it.response(status) }
                val result = forwarderTo(worker.address).runAttempt(timeoutMs = SHORT_TIMEOUT_MS)
                result !is AttemptResult.Unknown || lastPending.takeResponse(AttemptId(lastAttempt)) != null
            }
        assertEquals(emptyList(), forwarded)
    }

    @Test
    fun `a late response is unknown and is not returned for the next request`() {
        val release = CountDownLatch(1)
        val worker =
            worker {
                if (it.body == "late") release.await()
                it.response(body = it.body)
            }
        val forwarder = forwarderTo(worker.address)

        val late = forwarder.runAttempt(body = "late", timeoutMs = 100)
        release.countDown()
        val next = forwarder.runAttempt(body = "next")

        assertIs<AttemptResult.Unknown>(late)
        assertEquals(AttemptResult.Answered(200, 4), next)
        assertEquals("next", lastPending.takeResponse(AttemptId(lastAttempt))?.bodyString())
    }

    @Test
    fun `an attempt on a refused connection is reported as not sent`() {
        assertEquals(AttemptResult.NotSent, forwarderTo(HostAddress("127.0.0.1", ReservedPorts.next())).runAttempt())
    }

    @Test
    fun `a refusal by the worker is reported as shed with its draining flag and retry delay`() {
        val worker =
            worker {
                it.response("503 Busy", headers = listOf("kumquatmill-outcome: not-run", "kumquatmill-draining: true", "Retry-After: 2"))
            }

        assertEquals(AttemptResult.Shed(retryAfterMs = 2_000, isDraining = true), forwarderTo(worker.address).runAttempt())
    }

    @Test
    fun `a cancelled attempt closes its connection`() {
        val unresponsiveWorker = ServerSocket(0).also { resources += it }
        val forwarder = forwarderTo(HostAddress("127.0.0.1", unresponsiveWorker.localPort))
        forwarder.startAttempt(Method.POST, "order", false, TIMEOUT_MS)
        val connection = unresponsiveWorker.accept().also { resources += it }
        connection.soTimeout = TIMEOUT_MS.toInt()
        val input = connection.getInputStream()
        input.read()

        forwarder.cancel(AttemptId(lastAttempt))

        assertTrue(generateSequence { input.read() }.first { it < 0 } < 0)
        assertIs<AttemptResult.Unknown>(results.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS))
    }

    private var closeAfterResponse = false

    private fun assertUnknown(script: (ReceivedRequest) -> ByteArray) {
        lateinit var worker: ScriptedWorker
        worker = worker { request -> script(request).also { if (closeAfterResponse) closeAfterDelay(worker) } }

        val result = forwarderTo(worker.address).runAttempt()

        assertIs<AttemptResult.Unknown>(result)
        assertNull(lastPending.takeResponse(AttemptId(lastAttempt)), "the response was stored")
        assertEquals(1, worker.receivedRequests.size)
    }

    private fun closeAfterDelay(worker: ScriptedWorker) {
        kotlin.concurrent.thread(isDaemon = true) {
            Thread.sleep(CLOSE_DELAY_MS)
            worker.close()
        }
    }

    private fun worker(script: (ReceivedRequest) -> ByteArray?): ScriptedWorker = ScriptedWorker(script).also { resources += it }

    private fun forwarderTo(address: HostAddress): Forwarder {
        val worker = Worker(workerId, UpstreamId("orders"), RegionId("west"), AvailabilityZoneId("west-1"), address, slots = 3)
        return Forwarder(
            workers = mapOf(workerId to worker),
            settings = ForwardSettings(TIMEOUT_MS, FRESH_CONNECTION_MS, TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS),
            maxConcurrentAttempts = 4,
            maxResponseBytes = MAX_RESPONSE_BYTES.toLong(),
            clock = { nowMs },
            onAttemptEnded = { _, result -> results += result },
        ).also { resources += it }
    }

    private fun Forwarder.runAttempt(
        method: Method = Method.POST,
        body: String = if (method == Method.POST) "order" else "",
        needsFreshConnection: Boolean = false,
        timeoutMs: Long = TIMEOUT_MS,
    ): AttemptResult? {
        startAttempt(method, body, needsFreshConnection, timeoutMs)
        return results.poll(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private fun Forwarder.startAttempt(
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
        const val TIMEOUT_MS = 5_000L
        const val SHORT_TIMEOUT_MS = 500L
        const val FRESH_CONNECTION_MS = 1_000L
        const val CLOSE_DELAY_MS = 100L
        const val MAX_RESPONSE_BYTES = 10_000
        val workerId = WorkerId("w1")
    }
}
