package io.kumquatmill.daemon.caller

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.gateway.closing.LingeringClose
import io.kumquatmill.settings.RequestLimits
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpHandler
import io.undertow.server.handlers.BlockingHandler
import io.undertow.server.handlers.RequestLimit
import io.undertow.server.handlers.RequestLimitingHandler
import org.http4k.server.Http4kUndertowHttpHandler
import org.xnio.Options

private const val IO_THREADS = 2
private const val OPERATOR_THREADS = 4
private const val MAX_QUEUED_OPERATOR_REQUESTS = 256
private const val MAX_HEADERS = 100

/** Margin above the body limit that lets the handler refuse an oversized body with a response before Undertow closes the connection. */
private const val ENTITY_MARGIN_BYTES = 64L * 1024

/** HTTP server for callers and operators, with limits on connections, header and body sizes, and threads. */
internal class CallerServer(
    address: HostAddress,
    limits: RequestLimits,
    operatorRoutes: org.http4k.core.HttpHandler,
    callerHandler: HttpHandler,
) : AutoCloseable {
    private val operatorHandler =
        RequestLimitingHandler(
            RequestLimit(OPERATOR_THREADS, MAX_QUEUED_OPERATOR_REQUESTS),
            BlockingHandler(Http4kUndertowHttpHandler(operatorRoutes)),
        )
    private val lingeringClose = LingeringClose(limits.maxConnections) { }
    private val undertow =
        Undertow
            .builder()
            .addHttpListener(address.port, address.ip)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(OPERATOR_THREADS)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, limits.maxConnections)
            .setSocketOption(Options.CONNECTION_LOW_WATER, limits.maxConnections)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes + ENTITY_MARGIN_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeadBytes)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headTimeoutMs.toInt())
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs.toInt())
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setHandler(
                lingeringClose.around { exchange ->
                    val handler = if (exchange.requestPath in operatorPaths) operatorHandler else callerHandler
                    handler.handleRequest(exchange)
                },
            ).build()

    /** Number of connections that wait for callers to close them behind the last response. */
    val lingeringCount: Int
        get() = lingeringClose.count

    fun start() = undertow.start()

    override fun close() = undertow.stop()
}
