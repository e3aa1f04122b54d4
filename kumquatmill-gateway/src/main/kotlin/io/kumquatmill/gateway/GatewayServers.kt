package io.kumquatmill.gateway

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.gateway.closing.LingeringClose
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.response.SlowReaders
import io.kumquatmill.gateway.settings.GatewaySettings
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.connector.ByteBufferPool
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.HttpContinueReadHandler
import org.xnio.Options
import org.xnio.XnioWorker

/** HTTP listeners of an entry host: for callers, readiness probe, directory, peer state and metrics. */
internal class GatewayServers(
    private val settings: GatewaySettings,
    private val adapter: GatewayAdapter,
    private val xnioWorker: XnioWorker,
    private val bufferPool: ByteBufferPool,
    callerHandler: HttpHandler,
    directoryHandler: HttpHandler,
    peerHandler: HttpHandler,
    private val metrics: GatewayMetrics,
    private val slowReaders: SlowReaders,
    private val lingeringClose: LingeringClose,
    private val isServing: () -> Boolean,
) {
    private val internalServer =
        builder()
            .listen(settings.readinessAddress, HttpHandler { handleReadiness(it) })
            .listen(settings.directoryAddress, directoryHandler)
            .listen(settings.peerStateAddress, peerHandler)
            .apply { settings.metricsPort?.let { port -> listen(HostAddress(settings.self.ip, port), HttpHandler { handleMetrics(it) }) } }
            .build()
    private val callerServer = builder().listen(settings.callerAddress, HttpContinueReadHandler(callerHandler)).build()

    /** Opens all listeners except the one for callers. */
    fun start() = internalServer.start()

    /** Opens the caller listener. Until then connections are refused, so that a caller tries another host at once. */
    fun openCallerListener() = callerServer.start()

    /** Closes the caller listener: connections are refused again, and those that are open go on. */
    fun closeCallerListener() = callerServer.stop()

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
            // Undertow would keep a response until the next one on the connection is ready, and drop it if the next request is malformed.
            .setServerOption(UndertowOptions.BUFFER_PIPELINED_DATA, false)
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
                .setRootHandler(lingeringClose.around(slowReaders.countingResponses(handler))),
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

    private fun handleMetrics(exchange: HttpServerExchange) =
        exchange.respond(OK, metrics.scrape().toByteArray(), "text/plain; version=0.0.4")

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val BACKLOG = 1_024
        const val MAX_HEADER_BYTES = 64 * 1024
        const val HEADER_TIMEOUT_MS = 10_000

        /** Longer than any caller keeps an idle connection, so that no request arrives on a connection being closed. */
        const val IDLE_TIMEOUT_MS = 120_000
    }
}
