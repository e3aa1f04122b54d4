package io.kumquatmill.gateway.http

import io.kumquatmill.common.time.MonotonicClock
import io.undertow.server.DefaultByteBufferPool
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a connection that carries a request again, on which the copy of a refusal passes for the answer to it. */
class OverlappingRequestsTest {
    private val random = Random(System.getProperty("kumquatmill.seed")?.toLong() ?: 1)
    private val xnioWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1))
    private val loop = xnioWorker.ioThread
    private val client = EventLoopHttpClient(loop, DefaultByteBufferPool(false, BUFFER_BYTES), MonotonicClock.system)
    private val responses = CopyOnWriteArrayList<CallResult.Response>()
    private val uses = CopyOnWriteArrayList<ConnectionUse>()
    private val inProgress = Semaphore(MAX_IN_PROGRESS)
    private val endedCalls = AtomicInteger()
    private val serials = AtomicInteger()

    @AfterTest
    fun stop() = xnioWorker.shutdown()

    private val ScriptedServer.Connection.requestId: String
        get() = head.substringAfter("Id: ").substringBefore("\r\n")

    private fun chance(bound: Int): Int = synchronized(random) { random.nextInt(bound) }

    /** Answers, refuses, loses or delays the request, and may write its refusal once more. */
    private fun ScriptedServer.Connection.respond() {
        val serial = serials.incrementAndGet()
        val answer = "HTTP/1.1 200 OK\r\nId: $requestId\r\nSerial: $serial\r\nContent-Length: 0\r\n"
        val refusal = "HTTP/1.1 503 Full\r\nId: $requestId\r\nSerial: $serial\r\nContent-Length: 0\r\n\r\n"
        when (chance(BEHAVIOURS)) {
            0 -> if (chance(2) == 0) reset() else write("$answer\r\n")
            1 -> write("${answer}Connection: close\r\n\r\n")
            2 -> Thread.sleep(chance(MAX_DELAY_MS).toLong()).also { write("$answer\r\n") }
            3 -> write(refusal + refusal)
            in 4..7 -> {
                write(refusal)
                thread(isDaemon = true) { Thread.sleep(chance(MAX_DELAY_MS).toLong()).also { runCatching { write(refusal) } } }
            }
            else -> write("$answer\r\n")
        }
    }

    private fun send(server: ScriptedServer) {
        val id = "r${chance(IDS)}"
        val call =
            HttpCall(
                address = server.address,
                method = "POST",
                target = "/a",
                headers = listOf("Host" to "shop.example", "Id" to id),
                body = ByteArray(chance(MAX_BODY_BYTES)),
                maxConnectionIdleMs = if (chance(RARE) == 0) MAX_DELAY_MS.toLong() else Long.MAX_VALUE,
                maxIdleConnections = chance(MAX_IDLE),
                connectTimeoutMs = 500,
                timeoutMs = if (chance(RARE) == 0) 1L + chance(MAX_DELAY_MS) else LONG_TIMEOUT_MS,
                requestId = id,
                isOwnResponse = { it.header("Id") == id },
            )
        val cancelAfterMs = if (chance(RARE) == 0) chance(MAX_DELAY_MS).toLong() else null
        inProgress.acquire()
        loop.execute {
            var isCounted = true
            val end = { if (isCounted) inProgress.release().also { isCounted = false } }
            val ongoing = client.send(call) { result -> onResult(id, result).also { end() } }
            cancelAfterMs?.let { loop.executeAfter({ ongoing.cancel().also { end() } }, it, TimeUnit.MILLISECONDS) }
        }
    }

    private fun onResult(
        id: String,
        result: CallResult,
    ) {
        endedCalls.incrementAndGet()
        result.use?.let { uses += it }
        if (result is CallResult.Response && result.header("Id") == id) responses += result
    }

    @Test
    fun `no connection carries a request twice, whatever overlaps, fails or is cancelled`() =
        ScriptedServer { respond() }.use { server ->
            repeat(CALLS) { send(server) }
            inProgress.acquire(MAX_IN_PROGRESS)
            val carried = server.requests.groupingBy { System.identityHashCode(it.socket) to it.requestId }.eachCount()
            assertEquals(emptyMap(), carried.filterValues { it > 1 }, "requests that a connection has carried more than once")
            assertTrue(uses.none { it.isRepeat }, "repeats: ${uses.filter { it.isRepeat }}")
            val taken = responses.groupingBy { it.header("Serial") }.eachCount()
            assertEquals(emptyMap(), taken.filterValues { it > 1 }, "answers that were taken for those to two requests")
            val reused = responses.count { it.isConnectionReused }
            assertTrue(reused > CALLS / 10, "few answers over kept connections: $reused")
            assertTrue(endedCalls.get() > CALLS / 2, "few calls have ended: ${endedCalls.get()}")
        }

    private companion object {
        const val CALLS = 1_500
        const val IDS = 12
        const val BEHAVIOURS = 20
        const val MAX_DELAY_MS = 25
        const val MAX_BODY_BYTES = 200
        const val MAX_IDLE = 6
        const val MAX_IN_PROGRESS = 6
        const val LONG_TIMEOUT_MS = 2_000L

        /** One call in as many is short of time, cancelled or in need of a recently used connection. */
        const val RARE = 25
        const val BUFFER_BYTES = 8 * 1024
    }
}
