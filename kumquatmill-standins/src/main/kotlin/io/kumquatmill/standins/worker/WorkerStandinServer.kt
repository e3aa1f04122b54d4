package io.kumquatmill.standins.worker

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.standins.http.CONTROL_PREFIX
import io.kumquatmill.standins.http.StandinServer
import io.kumquatmill.standins.http.neverRespond
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import org.http4k.server.Http4kUndertowHttpHandler

private const val EXTRA_HANDLER_THREADS = 64
private const val LOAD_PATH = "/load"

/**
 * HTTP stand-in for one worker of an upstream.
 *
 * `GET /load` reports the load, and the endpoints under `/control/` set faults and return recorded requests; all other paths
 * are served as upstream requests. Workers can share a [runLog] and a [headerLog], so that they are checked together.
 */
class WorkerStandinServer(
    settings: WorkerSettings,
    runLog: RunLog = RunLog(),
    headerLog: HeaderLog = HeaderLog(),
    ip: String = "127.0.0.1",
    port: Int = 0,
    clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    /** State of the worker, for tests in the same process that inject faults. */
    val state: WorkerState = WorkerState(settings, runLog, headerLog, clock)

    private val controlHandler = BlockingHandler(Http4kUndertowHttpHandler(workerRoutes(state)))
    private val requestHandler = BlockingHandler(WorkerRequestHandler(state, clock))
    private val server = StandinServer(ip, port, settings.slots + EXTRA_HANDLER_THREADS, state.connections, HttpHandler(::route))

    /** Address on which the worker listens. */
    val address: HostAddress
        get() = server.address

    override fun close() = server.close()

    private fun route(exchange: HttpServerExchange) {
        when {
            exchange.requestPath == LOAD_PATH && state.faults.load.isSilent -> exchange.neverRespond()
            isControlOrLoadPath(exchange.requestPath) -> controlHandler.handleRequest(exchange)
            else -> requestHandler.handleRequest(exchange)
        }
    }

    private fun isControlOrLoadPath(path: String): Boolean = path == LOAD_PATH || path.startsWith(CONTROL_PREFIX)
}
