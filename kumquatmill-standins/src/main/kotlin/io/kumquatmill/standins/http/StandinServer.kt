package io.kumquatmill.standins.http

import io.kumquatmill.common.fleet.HostAddress
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.AttachmentKey
import java.net.InetSocketAddress
import java.util.concurrent.Executor

internal const val CONTROL_PREFIX = "/control/"
private const val IO_THREADS = 2
private val connectionNumberKey: AttachmentKey<Long> = AttachmentKey.create(Long::class.javaObjectType)
private val discardingExecutor = Executor { }

/**
 * Undertow server that listens on one port of [ip]; port 0 selects a free port.
 *
 * Requests on a connection that [connections] marks as silent never get a response, except on the control endpoints.
 */
internal class StandinServer(
    ip: String,
    port: Int,
    handlerThreads: Int,
    private val connections: ConnectionSequence,
    private val handler: HttpHandler,
) : AutoCloseable {
    private val undertow: Undertow =
        Undertow
            .builder()
            .addHttpListener(port, ip)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(handlerThreads)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(::route)
            .build()

    /** Address on which the server listens. */
    val address: HostAddress

    init {
        undertow.start()
        val socketAddress = undertow.listenerInfo.first().address as InetSocketAddress
        address = HostAddress(ip, socketAddress.port)
    }

    override fun close() {
        undertow.stop()
    }

    private fun route(exchange: HttpServerExchange) {
        val isControl = exchange.requestPath.startsWith(CONTROL_PREFIX)
        if (!isControl && connections.isSilent(connectionNumber(exchange))) {
            exchange.neverRespond()
        } else {
            handler.handleRequest(exchange)
        }
    }

    private fun connectionNumber(exchange: HttpServerExchange): Long {
        val connection = exchange.connection
        val assigned = connection.getAttachment(connectionNumberKey)
        if (assigned != null) {
            return assigned
        }
        val number = connections.nextNumber()
        connection.putAttachment(connectionNumberKey, number)
        return number
    }
}

/** Sends no response and keeps the connection open. */
internal fun HttpServerExchange.neverRespond() {
    dispatch(discardingExecutor, Runnable { })
}

/** Closes the connection without sending a response. */
internal fun HttpServerExchange.closeWithoutResponse() {
    connection.close()
}
