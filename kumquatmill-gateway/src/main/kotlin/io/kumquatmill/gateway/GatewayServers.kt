package io.kumquatmill.gateway

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.peer.PeerState
import io.kumquatmill.gateway.relay.RelayHeaders
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

/** HTTP listeners of an entry host: for callers, readiness probe, directory, peer state and metrics. */
internal class GatewayServers(
    private val settings: GatewaySettings,
    private val adapter: GatewayAdapter,
    private val xnioWorker: XnioWorker,
    private val bufferPool: ByteBufferPool,
    callerHandler: HttpHandler,
    private val relayHandler: HttpHandler,
    private val controller: TrafficController,
    private val cache: StateCache,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock,
    private val isServing: () -> Boolean,
) {
    private val internalServer =
        builder()
            .listen(settings.readinessAddress, HttpHandler { handleReadiness(it) })
            .listen(settings.directoryAddress, HttpHandler { handleDirectory(it) })
            .listen(settings.peerStateAddress, HttpHandler { handlePeerState(it) })
            .apply { settings.metricsPort?.let { port -> listen(HostAddress(settings.self.ip, port), HttpHandler { handleMetrics(it) }) } }
            .build()
    private val callerServer = builder().listen(settings.callerAddress, HttpContinueReadHandler(callerHandler)).build()

    /** Opens all listeners except the one for callers. */
    fun start() = internalServer.start()

    /** Opens the caller listener. Until then connections are refused, so that a caller tries another host at once. */
    fun openCallerListener() = callerServer.start()

    private fun builder(): Undertow.Builder =
        Undertow
            .builder()
            .setWorker(xnioWorker)
            .setByteBufferPool(bufferPool)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.BACKLOG, BACKLOG)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MS)
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

    private fun handleReadiness(exchange: HttpServerExchange) {
        val isReadinessPath = exchange.requestPath == adapter.readinessPath
        exchange.respond(
            if (!isReadinessPath) {
                NOT_FOUND
            } else if (isServing()) {
                OK
            } else {
                UNAVAILABLE
            },
        )
    }

    private fun handleDirectory(exchange: HttpServerExchange) {
        if (exchange.requestPath != adapter.directoryPath) return exchange.respond(NOT_FOUND)
        val region = exchange.queryParameters[adapter.regionParameter]?.firstOrNull().orEmpty()
        val hosts = controller.servingHosts(clock.nowMs(), region, isServing()).take(MAX_DIRECTORY_ADDRESSES)
        if (hosts.isEmpty()) return exchange.respond(UNAVAILABLE)
        val addresses = hosts.map { HostAddress(it.ip, settings.callerAddress.port).toString() }
        exchange.respond(OK, JSON, adapter.encodeDirectoryResponse(addresses, settings.directoryTtlS))
    }

    private fun handlePeerState(exchange: HttpServerExchange) {
        if (exchange.requestHeaders.contains(RelayHeaders.WORKER)) return relayHandler.handleRequest(exchange)
        if (exchange.requestPath != PeerSynchronizer.STATE_PATH) return exchange.respond(NOT_FOUND)
        val state = PeerState(cache.revision, cache.allEntries())
        exchange.respond(OK, JSON, Json.encodeToString(PeerState.serializer(), state).toByteArray())
    }

    private fun handleMetrics(exchange: HttpServerExchange) =
        exchange.respond(OK, "text/plain; version=0.0.4", metrics.scrape().toByteArray())

    private fun HttpServerExchange.respond(
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

        /** Callers read at most this many addresses. */
        const val MAX_DIRECTORY_ADDRESSES = 64
        const val BACKLOG = 1_024
        const val MAX_HEADER_BYTES = 64 * 1024
        const val HEADER_TIMEOUT_MS = 10_000

        /** Longer than any caller keeps an idle connection, so that no request arrives on a connection being closed. */
        const val IDLE_TIMEOUT_MS = 120_000
        val EMPTY_OBJECT = "{}".toByteArray()
    }
}
