package io.kumquatmill.gateway

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.peer.PeerState
import io.kumquatmill.gateway.settings.GatewaySettings
import io.kumquatmill.gateway.store.StateCache
import io.kumquatmill.traffic.control.TrafficController
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.connector.ByteBufferPool
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.HttpContinueReadHandler
import io.undertow.util.Headers
import kotlinx.serialization.json.Json
import org.xnio.Options
import org.xnio.XnioWorker
import java.nio.ByteBuffer

/** The listening addresses of an entry host and what each of them answers. */
internal class GatewayServers(
    private val settings: GatewaySettings,
    private val adapter: GatewayAdapter,
    private val worker: XnioWorker,
    private val buffers: ByteBufferPool,
    callers: HttpHandler,
    private val desk: TrafficController,
    private val cache: StateCache,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock,
    private val isServing: () -> Boolean,
) {
    private val own =
        builder()
            .listen(settings.readiness, HttpHandler { ready(it) })
            .listen(settings.directory, HttpHandler { directory(it) })
            .listen(settings.peerCalls, HttpHandler { peer(it) })
            .apply { settings.metricsPort?.let { port -> listen(HostAddress(settings.self.ip, port), HttpHandler { metrics(it) }) } }
            .build()
    private val forCallers = builder().listen(settings.callers, HttpContinueReadHandler(callers)).build()

    /** Opens all addresses but that of callers. */
    fun start() = own.start()

    /** Opens the address of callers; a caller that finds it closed before tries another host at once. */
    fun openToCallers() = forCallers.start()

    private fun builder(): Undertow.Builder =
        Undertow
            .builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.BACKLOG, BACKLOG)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MS)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)

    private fun Undertow.Builder.listen(
        address: HostAddress,
        handler: HttpHandler,
    ): Undertow.Builder =
        addListener(
            Undertow
                .ListenerBuilder()
                .setType(Undertow.ListenerType.HTTP)
                .setHost(address.ip)
                .setPort(address.port)
                .setRootHandler(handler),
        )

    private fun ready(exchange: HttpServerExchange) {
        val isKnown = exchange.requestPath == adapter.readinessPath
        exchange.reply(
            if (!isKnown) {
                NOT_FOUND
            } else if (isServing()) {
                OK
            } else {
                UNAVAILABLE
            },
        )
    }

    private fun directory(exchange: HttpServerExchange) {
        if (exchange.requestPath != adapter.directoryPath) return exchange.reply(NOT_FOUND)
        val region = exchange.queryParameters[adapter.regionParameter]?.firstOrNull().orEmpty()
        val hosts = desk.servingHosts(clock.nowMs(), region, isServing()).take(MAX_NAMED_HOSTS)
        if (hosts.isEmpty()) return exchange.reply(UNAVAILABLE)
        val addresses = hosts.map { HostAddress(it.ip, settings.callers.port).toString() }
        exchange.reply(OK, JSON, adapter.directoryAnswer(addresses, settings.directoryTtlS))
    }

    private fun peer(exchange: HttpServerExchange) {
        if (exchange.requestPath != FleetTalk.STATE_PATH) return exchange.reply(NOT_FOUND)
        val state = PeerState(cache.revision, cache.all())
        exchange.reply(OK, JSON, Json.encodeToString(PeerState.serializer(), state).toByteArray())
    }

    private fun metrics(exchange: HttpServerExchange) = exchange.reply(OK, "text/plain; version=0.0.4", metrics.text().toByteArray())

    private fun HttpServerExchange.reply(
        status: Int,
        contentType: String = JSON,
        body: ByteArray = EMPTY_OBJECT,
    ) {
        statusCode = status
        responseHeaders.put(Headers.CONTENT_TYPE, contentType)
        responseContentLength = body.size.toLong()
        responseSender.send(ByteBuffer.wrap(body))
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val JSON = "application/json"

        /** Callers take no more addresses than this. */
        const val MAX_NAMED_HOSTS = 64
        const val BACKLOG = 1_024
        const val MAX_HEAD_BYTES = 64 * 1024
        const val HEAD_TIMEOUT_MS = 10_000

        /** Longer than any caller keeps an idle connection, so that none meets a close. */
        const val IDLE_TIMEOUT_MS = 120_000
        val EMPTY_OBJECT = "{}".toByteArray()
    }
}
