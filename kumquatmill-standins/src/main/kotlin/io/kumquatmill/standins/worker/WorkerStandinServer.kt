package io.kumquatmill.standins.worker

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.standins.http.CONTROL_PREFIX
import io.kumquatmill.standins.http.StandinServer
import io.kumquatmill.standins.http.neverAnswer
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import org.http4k.server.Http4kUndertowHttpHandler

private const val SPARE_THREADS = 64
private const val LOAD_PATH = "/load"

/**
 * One worker of an upstream as a stand-in, over HTTP.
 *
 * Paths: `GET /load` reports the load, `/control/` sets faults and reads what arrived; all others are served as requests.
 * Workers that share a [runLog] and a [headerLog] are checked together.
 */
class WorkerStandinServer(
    settings: WorkerSettings,
    runLog: RunLog = RunLog(),
    headerLog: HeaderLog = HeaderLog(),
    ip: String = "127.0.0.1",
    port: Int = 0,
    clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    /** State of the worker, to set faults in process. */
    val state: WorkerState = WorkerState(settings, runLog, headerLog, clock)

    private val api = BlockingHandler(Http4kUndertowHttpHandler(workerRoutes(state)))
    private val requests = BlockingHandler(WorkerRequestHandler(state, clock))
    private val server = StandinServer(ip, port, settings.slots + SPARE_THREADS, state.connections, HttpHandler(::route))

    /** Address on which the worker listens. */
    val address: HostAddress
        get() = server.address

    override fun close() = server.close()

    private fun route(exchange: HttpServerExchange) {
        when {
            exchange.requestPath == LOAD_PATH && state.faults.load.isSilent -> exchange.neverAnswer()
            isApi(exchange.requestPath) -> api.handleRequest(exchange)
            else -> requests.handleRequest(exchange)
        }
    }

    private fun isApi(path: String): Boolean = path == LOAD_PATH || path.startsWith(CONTROL_PREFIX)
}
