package io.kumquatmill.standins.platform

import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.platform.HostListCodec
import io.kumquatmill.standins.http.jsonBodyOrNull
import io.kumquatmill.standins.http.jsonResponse
import io.kumquatmill.standins.http.noContentResponse
import io.kumquatmill.store.HostListState
import io.kumquatmill.store.LeaseId
import org.http4k.core.HttpHandler
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Method.PUT
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** Returns the handler for the host list and the control endpoints. */
internal fun platformRoutes(
    state: PlatformState,
    clock: MonotonicClock,
): HttpHandler =
    routes(
        HostListCodec.PATH bind GET to { readHosts(state, clock) },
        "/control/faults" bind GET to { jsonResponse(state.withStore { it.faults }) },
        "/control/faults" bind PUT to { request -> putFaults(state, request) },
        "/control/lose-answers/{count}" bind POST to { request -> loseResponses(state, request) },
        "/control/silence" bind POST to { noContentResponse { state.silenceConnections() } },
        "/control/leases/{id}/expire" bind POST to { request -> expireLease(state, request) },
        "/control/hosts/{host}/{state}" bind PUT to { request -> putHost(state, clock, request) },
        "/control/hosts/{host}" bind DELETE to { request -> updateHost(state, clock, request, hostState = null) },
        "/control/host-list-lag-ms/{lagMs}" bind PUT to { request -> putHostListLag(state, request) },
        "/control/host-list/down" bind POST to { setHostListDown(state, isDown = true) },
        "/control/host-list/up" bind POST to { setHostListDown(state, isDown = false) },
        "/control/counters" bind GET to { readCounters(state) },
        "/control/peak-rates" bind GET to { jsonResponse(state.withStore { it.peakRates }) },
    )

private fun readHosts(
    state: PlatformState,
    clock: MonotonicClock,
): Response {
    val entries = state.withHostList { list -> if (list.isDown) null else list.read(clock.nowMs()) }
    if (entries == null) {
        return Response(Status.SERVICE_UNAVAILABLE)
    }
    return Response(Status.OK).header("Content-Type", "application/json").body(HostListCodec.encode(entries))
}

private fun putFaults(
    state: PlatformState,
    request: Request,
): Response {
    val faults =
        request.jsonBodyOrNull<StoreFaults>()
            ?: return Response(
                Status.BAD_REQUEST,
            ).body("the body is not a valid fault configuration: send a JSON object with fields of StoreFaults")
    state.withStore { it.faults = faults }
    return jsonResponse(faults)
}

private fun loseResponses(
    state: PlatformState,
    request: Request,
): Response {
    val count = request.path("count")?.toIntOrNull() ?: return Response(Status.BAD_REQUEST)
    return noContentResponse { state.withStore { it.loseNextWriteResponses(count) } }
}

private fun expireLease(
    state: PlatformState,
    request: Request,
): Response {
    val id = request.path("id")?.toLongOrNull() ?: return Response(Status.BAD_REQUEST)
    return noContentResponse { state.withStore { it.expireLease(LeaseId(id)) } }
}

private fun putHost(
    state: PlatformState,
    clock: MonotonicClock,
    request: Request,
): Response {
    val name = request.path("state").orEmpty()
    val hostState = HostListState.entries.find { it.name.equals(name, ignoreCase = true) }
    return if (hostState == null) Response(Status.BAD_REQUEST) else updateHost(state, clock, request, hostState)
}

private fun updateHost(
    state: PlatformState,
    clock: MonotonicClock,
    request: Request,
    hostState: HostListState?,
): Response {
    val host = HostId(request.path("host").orEmpty())
    return noContentResponse { state.withHostList { it.setHostState(clock.nowMs(), host, hostState) } }
}

private fun putHostListLag(
    state: PlatformState,
    request: Request,
): Response {
    val lagMs = request.path("lagMs")?.toLongOrNull() ?: return Response(Status.BAD_REQUEST)
    return noContentResponse { state.withHostList { it.lagMs = lagMs } }
}

private fun setHostListDown(
    state: PlatformState,
    isDown: Boolean,
): Response = noContentResponse { state.withHostList { it.isDown = isDown } }

private fun readCounters(state: PlatformState): Response =
    jsonResponse(state.withStore { store -> store.callCounts.mapKeys { it.key.wireName } })
