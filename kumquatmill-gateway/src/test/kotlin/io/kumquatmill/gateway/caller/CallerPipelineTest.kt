package io.kumquatmill.gateway.caller

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.undertow.server.DefaultByteBufferPool
import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.HeaderMap
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against requests that end or wait because of another request of the connection or host. Connections are pipes. */
class CallerPipelineTest {
    private val worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1))
    private val pool = DefaultByteBufferPool(false, 1_024)
    private val events = ArrayList<String>()
    private val limit = ReadAheadLimit(maxHostBytes = 1_000)
    private val metrics = GatewayMetrics()
    private val slowCallers = SlowCallers(MonotonicClock.system, metrics, RequestLog())
    private val context =
        PipelineContext(limit, metrics, RequestLog(), slowCallers, { false }) { _, head ->
            if (head.path == "/broken") events += "broken"
            Request(head)
        }

    private inner class Request(
        override val head: ReceivedHead,
    ) : PipelinedRequest {
        override val id = head.path.also { check(it != "/broken") { "cannot be opened" } }
        override val allowsOthersBehind = true

        override fun startAhead() = events.add("start $id").let { }

        override fun attach(exchange: HttpServerExchange) = Unit

        override fun cancel(outcome: String) = events.add("cancel $id").let { }

        override fun onCallerDisconnected() = Unit
    }

    /** A connection from which the server has read [extra] behind the first request, which is in progress. */
    private inner class Caller(
        extra: String,
    ) {
        private val pipe = worker.ioThread.createFullDuplexPipeConnection()
        private val connection = HttpServerConnection(pipe.leftSide, pool, { }, OptionMap.EMPTY, 1_024, null)
        val pipeline = CallerPipeline(connection, context)
        val exchange = HttpServerExchange(connection).also { it.isPersistent = true }

        init {
            connection.extraBytes = pool.allocate().also { it.buffer.put(extra.toByteArray()).flip() }
        }

        fun watch() = pipeline.watch(Request(ReceivedHead("GET", "/first", "/first", HeaderMap())), exchange)

        fun send(text: String) = pipe.rightSide.sinkChannel.write(ByteBuffer.wrap(text.toByteArray()))
    }

    @AfterTest
    fun close() = worker.shutdownNow().let { }

    private fun <T> onLoop(action: () -> T): T = CompletableFuture.supplyAsync({ action() }, worker.ioThread).get(5, TimeUnit.SECONDS)

    private fun awaitEvents(vararg expected: String) {
        repeat(200) { if (onLoop { events.toList() } != expected.toList()) Thread.sleep(10) }
        assertEquals(expected.toList(), onLoop { events.toList() })
    }

    private fun text(path: String) = "GET $path HTTP/1.1\r\nHost: h\r\n\r\n"

    @Test
    fun `a request that cannot be opened leaves those before it and stops reading ahead`() {
        val caller = Caller(text("/a") + text("/broken") + text("/b"))
        onLoop { caller.watch() }
        caller.send(text("/c"))
        Thread.sleep(50)
        awaitEvents("start /a", "broken")
    }

    @Test
    fun `connections that wait for room in the host read and start requests when another one releases it`() {
        val (reading, starting) = listOf(Caller("GET "), Caller(text("/b")))
        onLoop {
            limit.holdHeads(1_000)
            listOf(reading, starting).forEach { it.watch() }
        }
        reading.send(text("/a").removePrefix("GET "))
        Thread.sleep(50)
        awaitEvents()
        onLoop { limit.release(1_000) }
        awaitEvents("start /b", "start /a")
    }
}
