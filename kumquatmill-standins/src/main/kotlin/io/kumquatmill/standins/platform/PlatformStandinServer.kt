package io.kumquatmill.standins.platform

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.platform.StoreCodec
import io.kumquatmill.standins.http.StandinServer
import io.undertow.server.handlers.BlockingHandler
import io.undertow.server.handlers.PathHandler
import org.http4k.server.Http4kUndertowHttpHandler

private const val HANDLER_THREADS = 600

/**
 * Serves a [KeyValueStandin] and a [HostListStandin] over HTTP.
 *
 * `POST /v1/store` executes a store call, `GET /v1/hosts` returns the host list, and the endpoints under `/control/` change
 * faults and hosts. The [state] is retained after [close], so a test can restart the service with the same state, even on
 * the same port.
 */
class PlatformStandinServer(
    val state: PlatformState = PlatformState(),
    ip: String = "127.0.0.1",
    port: Int = 0,
    clock: MonotonicClock = MonotonicClock.system,
) : AutoCloseable {
    private val control = Http4kUndertowHttpHandler(platformRoutes(state, clock))
    private val expiry = LeaseExpiryTimer(state, clock)
    private val server =
        StandinServer(
            ip,
            port,
            HANDLER_THREADS,
            state.connections,
            PathHandler(BlockingHandler(control)).addExactPath(StoreCodec.PATH, BlockingHandler(StoreCallHandler(state, clock))),
        )

    /** Address on which the server listens. */
    val address: HostAddress
        get() = server.address

    override fun close() {
        expiry.close()
        server.close()
    }
}
