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
private val droppingExecutor = Executor { }

/**
 * An Undertow server on one port of [ip]; port 0 takes a free one.
 *
 * Requests on a connection that [connections] knows as silent are never answered, but for those of the control endpoints.
 */
internal class StandinServer(
    ip: String,
    port: Int,
    workerThreads: Int,
    private val connections: ConnectionNumbers,
    private val handler: HttpHandler,
) : AutoCloseable {
    private val undertow: Undertow =
        Undertow
            .builder()
            .addHttpListener(port, ip)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(workerThreads)
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
        if (!isControl && connections.isSilent(numberOf(exchange))) {
            exchange.neverAnswer()
        } else {
            handler.handleRequest(exchange)
        }
    }

    private fun numberOf(exchange: HttpServerExchange): Long {
        val connection = exchange.connection
        val known = connection.getAttachment(connectionNumberKey)
        if (known != null) {
            return known
        }
        val number = connections.next()
        connection.putAttachment(connectionNumberKey, number)
        return number
    }
}

/** Leaves the exchange without an answer and its connection open. */
internal fun HttpServerExchange.neverAnswer() {
    dispatch(droppingExecutor, Runnable { })
}

/** Closes the connection without an answer. */
internal fun HttpServerExchange.closeWithoutAnswer() {
    connection.close()
}
