package io.kumquatmill.gateway.caller

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.closing.LingeringClose
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.model.TrafficRoute
import io.undertow.server.DefaultByteBufferPool
import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpOpenListener
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.HeaderMap
import io.undertow.util.SameThreadExecutor
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against requests that end or wait because of another request of the connection or host. Connections are pipes. */
class CallerPipelineTest {
    private val worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1))
    private val pool = DefaultByteBufferPool(false, 1_024)
    private val events = ArrayList<String>()
    private val limit = ReadAheadLimit(maxHostBytes = 2_000)
    private val metrics = GatewayMetrics()
    private val context =
        PipelineContext(limit, metrics, RequestLog(), { false }) { pipeline, head ->
            if (head.path == "/broken") events += "broken"
            if (head.path == "/refused") refusedRequest(pipeline, head) else Request(head)
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

    private var isClockBroken = false

    /** A request that the controller refuses, as its route has no upstream. */
    private fun refusedRequest(
        pipeline: CallerPipeline,
        head: ReceivedHead,
    ): CallerRequest {
        val clock = MonotonicClock { if (isClockBroken) error("no time") else 0 }
        val settings = TrafficSettings(emptyMap(), 0.2, 30.0, 10_000, 1.5, 5.0)
        val controller = TrafficController(EntryHostInfo("h1", "127.0.0.1", "r", "z"), settings)
        val names = HttpHeaderNames("id", "d", "a", "w", "e", "l", "m", "n", "p")
        val client = EventLoopHttpClient(worker.ioThread, pool, clock)
        val callers = CallerContext(names, controller, client, clock, RequestLog(), metrics, LoanWaiters(), 10, LingeringClose(1) { }, 1)
        val route = TrafficRoute(RouteId("r"), "h", "/", emptyList(), true, true, false, null, 300, 1, 0, emptySet())
        return CallerRequest(callers, pipeline, head, "x", ByteArray(0), RouteResolution.Resolved(route, null)) { events += "finished" }
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
            limit.holdHeads(2_000)
            listOf(reading, starting).forEach { it.watch() }
        }
        reading.send(text("/a").removePrefix("GET "))
        Thread.sleep(50)
        awaitEvents()
        onLoop { limit.release(2_000) }
        awaitEvents("start /b", "start /a")
    }

    @Test
    fun `an error while a held response is sent closes its connection`() {
        val pipe = worker.ioThread.createFullDuplexPipeConnection()
        lateinit var pipeline: CallerPipeline
        val listener = HttpOpenListener(pool)
        listener.setRootHandler { exchange ->
            if (exchange.requestPath == "/first") {
                pipeline = CallerPipeline(exchange.connection, context)
                pipeline.watch(Request(ReceivedHead.of(exchange)), exchange)
                pipeline.beforeResponse(exchange)
            } else {
                isClockBroken = true
                val request = checkNotNull(pipeline.take(ReceivedHead.of(exchange)))
                exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { request.attach(exchange) })
            }
        }
        onLoop {
            pipe.rightSide.sinkChannel.write(ByteBuffer.wrap((text("/first") + text("/refused")).toByteArray()))
            listener.handleEvent(pipe.leftSide)
        }
        awaitEvents("finished")
        assertFalse(onLoop { pipe.leftSide.isOpen })
    }
}
