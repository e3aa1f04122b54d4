package io.kumquatmill.standins.worker

import io.kumquatmill.common.http.HeaderNames
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private const val CALL_TIMEOUT_MS = 10_000L
private const val SHORT_CALL_TIMEOUT_MS = 300L

class WorkerStandinServerTest {
    private val runLog = RunLog()
    private val headerLog = HeaderLog()
    private val server =
        WorkerStandinServer(
            workerSettings {
                slots = 1
                serviceMs = 1.0
            },
            runLog,
            headerLog,
        )
    private val state = server.state
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .build()

    @AfterTest
    fun close() {
        client.connectionPool.evictAll()
        server.close()
    }

    private fun request(
        id: String,
        vararg headers: Pair<String, String>,
        path: String = "/orders",
    ): Request {
        val builder = Request.Builder().url("http://${server.address}$path").header(HeaderNames.REQUEST_ID, id)
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    private fun send(
        id: String,
        vararg headers: Pair<String, String>,
    ): Response = client.newCall(request(id, *headers)).execute().also { it.body.string() }

    private fun statusOf(id: String): RunStatus = runLog.arrivals().single { it.requestId == id }.status

    private fun awaitBusy() {
        while (state.load().busySlots == 0) {
            Thread.onSpinWait()
        }
    }

    private fun awaitIdle() {
        while (state.load().busySlots > 0) {
            Thread.onSpinWait()
        }
    }

    private fun slowDown() {
        state.faults = WorkerFaults(serviceFactor = 1e6)
    }

    @Test
    fun `a response echoes the request id and the run is logged`() {
        val response = send("r1", HeaderNames.WORKSPACE to "clinic")
        assertEquals(200, response.code)
        assertEquals("r1", response.header(HeaderNames.REQUEST_ID))
        assertEquals(listOf(1), runLog.runsByRequest("clinic").map { it.runs })
        assertEquals(RunStatus.DONE, statusOf("r1"))
    }

    @Test
    fun `a request is rejected as not run if no slot is free`() {
        slowDown()
        val first = client.newCall(request("r1"))
        val running = CompletableFuture.runAsync { runCatching { first.execute() } }
        awaitBusy()
        val rejected = send("r2")
        assertEquals(503, rejected.code)
        assertEquals("not-run", rejected.header(HeaderNames.OUTCOME))
        assertEquals(RunStatus.NOT_RUN, statusOf("r2"))
        first.cancel()
        running.get()
        awaitIdle()
    }

    @Test
    fun `closing the connection cancels the run and releases its slot`() {
        slowDown()
        val call = client.newCall(request("r1"))
        val running = CompletableFuture.runAsync { runCatching { call.execute() } }
        awaitBusy()
        call.cancel()
        running.get()
        awaitIdle()
        assertEquals(RunStatus.CANCELLED, statusOf("r1"))
    }

    @Test
    fun `a run that exceeds its deadline has an unknown outcome`() {
        slowDown()
        val response = send("r1", HeaderNames.DEADLINE_MS to "30")
        assertEquals(504, response.code)
        assertEquals("unknown", response.header(HeaderNames.OUTCOME))
        assertEquals(RunStatus.TIMED_OUT, statusOf("r1"))
    }

    @Test
    fun `a request does not run if its connection fails before the body is complete`() {
        Socket(server.address.ip, server.address.port).use { socket ->
            val head = "POST /orders HTTP/1.1\r\nHost: worker\r\n${HeaderNames.REQUEST_ID}: r1\r\nContent-Length: 100\r\n\r\nhalf"
            socket.getOutputStream().write(head.toByteArray())
            while (runLog.arrivals().isEmpty()) {
                Thread.onSpinWait()
            }
        }
        while (statusOf("r1") == RunStatus.RUNNING) {
            Thread.onSpinWait()
        }
        assertEquals(RunStatus.INCOMPLETE, statusOf("r1"))
        assertEquals(listOf(0), runLog.runsByRequest().map { it.runs })
    }

    @Test
    fun `a draining worker rejects requests as not run and reports that it is draining`() {
        state.isDraining = true
        val response = send("r1")
        assertEquals("not-run" to "true", response.header(HeaderNames.OUTCOME) to response.header(HeaderNames.DRAINING))
        assertTrue(response.header(HeaderNames.RETRY_AFTER) != null)
    }

    @Test
    fun `a truncated response can't be read completely`() {
        state.faults = WorkerFaults(answersToCut = 1)
        assertFailsWith<IOException> { send("r1") }
        assertEquals(RunStatus.DONE, statusOf("r1"))
        assertEquals(200, send("r2").code)
    }

    @Test
    fun `a mismatched response carries the id of another request`() {
        send("r1")
        state.faults = WorkerFaults(answersToCross = 1)
        assertEquals("r1", send("r2").header(HeaderNames.REQUEST_ID))
        assertEquals("r3", send("r3").header(HeaderNames.REQUEST_ID))
    }

    @Test
    fun `the connection is closed after the request has run if its response is lost`() {
        state.faults = WorkerFaults(answersToLose = 1)
        assertFailsWith<IOException> { send("r1") }
        assertEquals(RunStatus.DONE, statusOf("r1"))
    }

    @Test
    fun `a delayed response does not occupy a slot`() {
        state.faults = WorkerFaults(answersToDelay = 1, delayMs = 60_000)
        val delayed = client.newCall(request("r1"))
        val waiting = CompletableFuture.runAsync { runCatching { delayed.execute() } }
        while (runLog.arrivals().none { it.status == RunStatus.DONE }) {
            Thread.onSpinWait()
        }
        assertEquals(200, send("r2").code)
        assertTrue(!waiting.isDone, "the first response was not delayed")
        delayed.cancel()
    }

    @Test
    fun `connections opened before the fault stay unresponsive and new ones work`() {
        send("r1")
        state.silenceConnections()
        val shortTimeoutClient = client.newBuilder().callTimeout(SHORT_CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build()
        assertFailsWith<IOException> { shortTimeoutClient.newCall(request("r2")).execute() }
        assertEquals(200, send("r3").code)
        assertEquals(listOf("r1", "r3"), runLog.arrivals().map { it.requestId })
    }

    @Test
    fun `a search finds the header that contains a caller's key`() {
        send("r1", HeaderNames.AUTHORIZATION to "Bearer secret-key")
        assertEquals(setOf("authorization"), headerLog.namesContaining("secret-key"))
        assertEquals(emptySet(), headerLog.namesContaining("other-key"))
    }

    @Test
    fun `the load endpoint reports the values overridden by faults`() {
        state.faults = WorkerFaults(load = LoadFaults(busySlots = 5, isHealthy = false))
        val body = client.newCall(request("r1", path = "/load")).execute().use { it.body.string() }
        assertEquals("""{"busySlots":5,"isHealthy":false,"isDraining":false}""", body)
    }
}
