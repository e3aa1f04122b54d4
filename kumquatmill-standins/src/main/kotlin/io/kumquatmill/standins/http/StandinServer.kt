package io.kumquatmill.standins.http

import io.kumquatmill.common.fleet.HostAddress
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import java.net.InetSocketAddress
import java.util.concurrent.Executor

private const val IO_THREADS = 2
private val droppingExecutor = Executor { }

/** An Undertow server on one port of [ip]; port 0 takes a free one. */
internal class StandinServer(
    private val ip: String,
    port: Int,
    workerThreads: Int,
    handler: HttpHandler,
) : AutoCloseable {
    private val undertow: Undertow =
        Undertow
            .builder()
            .addHttpListener(port, ip)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(workerThreads)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(handler)
            .build()

    init {
        undertow.start()
    }

    /** Address on which the server listens. */
    val address: HostAddress
        get() {
            val socketAddress = undertow.listenerInfo.first().address as InetSocketAddress
            return HostAddress(ip, socketAddress.port)
        }

    override fun close() {
        undertow.stop()
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
