package io.kumquatmill.gateway.http

import org.xnio.ChannelListener
import org.xnio.IoFuture
import org.xnio.OptionMap
import org.xnio.StreamConnection
import org.xnio.XnioExecutor
import org.xnio.XnioIoThread
import java.net.SocketAddress
import java.util.concurrent.TimeUnit

/**
 * Opens connections on [loop] and installs a [ResponseConduit] in each before Undertow's client takes it over.
 *
 * Undertow's client offers no such hook: it opens connections itself, on the thread that it is given. This thread is never started.
 */
internal class LimitedConnectThread(
    private val loop: XnioIoThread,
) : XnioIoThread(loop.worker, loop.number) {
    /** Conduit of the connection that was opened last; the client passes on a connection in the same task in which it is opened. */
    var lastConduit: ResponseConduit? = null
        private set

    override fun openStreamConnection(
        destination: SocketAddress,
        openListener: ChannelListener<in StreamConnection>?,
        optionMap: OptionMap,
    ): IoFuture<StreamConnection> =
        loop.openStreamConnection(
            destination,
            { connection ->
                val conduit = ResponseConduit(connection.sourceChannel.conduit)
                connection.sourceChannel.conduit = conduit
                lastConduit = conduit
                openListener?.handleEvent(connection)
            },
            optionMap,
        )

    override fun execute(command: Runnable) = loop.execute(command)

    override fun executeAfter(
        command: Runnable,
        time: Long,
        unit: TimeUnit,
    ): XnioExecutor.Key = loop.executeAfter(command, time, unit)

    override fun executeAtInterval(
        command: Runnable,
        time: Long,
        unit: TimeUnit,
    ): XnioExecutor.Key = loop.executeAtInterval(command, time, unit)
}
