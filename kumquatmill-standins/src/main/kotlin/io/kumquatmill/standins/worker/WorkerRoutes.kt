package io.kumquatmill.standins.worker

import io.kumquatmill.standins.http.jsonBodyOrNull
import io.kumquatmill.standins.http.jsonResponse
import io.kumquatmill.standins.http.noContentResponse
import kotlinx.serialization.Serializable
import org.http4k.core.HttpHandler
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Method.PUT
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes

/** State of a worker as returned by its control endpoint. */
@Serializable
data class WorkerControlState(
    val name: String,
    val load: WorkerLoad,
    val faults: WorkerFaults,
)

/** Result of searching the received headers for a text; [names] are the headers that contain it. */
@Serializable
data class HeaderSearch(
    val isFound: Boolean,
    val names: Set<String>,
)

/** Returns the handler for the load and control endpoints; runs and headers cover all workers that share the logs. */
internal fun workerRoutes(state: WorkerState): HttpHandler =
    routes(
        "/load" bind GET to { jsonResponse(state.reportedLoad()) },
        "/control/state" bind GET to { jsonResponse(WorkerControlState(state.settings.name, state.load(), state.faults)) },
        "/control/faults" bind PUT to { request -> putFaults(state, request) },
        "/control/drain" bind POST to { setDraining(state, isDraining = true) },
        "/control/undrain" bind POST to { setDraining(state, isDraining = false) },
        "/control/cold" bind POST to { noContentResponse { state.resetToCold() } },
        "/control/silence" bind POST to { noContentResponse { state.silenceConnections() } },
        "/control/runs" bind GET to { request -> jsonResponse(state.runLog.runsByRequest(request.query("workspace"))) },
        "/control/runs" bind DELETE to { noContentResponse { state.runLog.clear() } },
        "/control/window-check" bind GET to { request -> checkWindows(state, request) },
        "/control/headers" bind GET to { jsonResponse(state.headerLog.names()) },
        "/control/headers/search" bind POST to { request -> searchHeaders(state, request) },
    )

private fun putFaults(
    state: WorkerState,
    request: Request,
): Response {
    state.faults =
        request.jsonBodyOrNull<WorkerFaults>()
            ?: return Response(
                Status.BAD_REQUEST,
            ).body("the body is not a valid fault configuration: send a JSON object with fields of WorkerFaults")
    return jsonResponse(state.faults)
}

private fun setDraining(
    state: WorkerState,
    isDraining: Boolean,
): Response {
    state.isDraining = isDraining
    return jsonResponse(state.load())
}

private fun checkWindows(
    state: WorkerState,
    request: Request,
): Response {
    val workspace = request.query("workspace")
    val ratePerS = request.query("ratePerS")?.toDoubleOrNull()
    val burst = request.query("burst")?.toIntOrNull()
    if (workspace == null || ratePerS == null || burst == null) {
        return Response(
            Status.BAD_REQUEST,
        ).body("query parameters missing or invalid: workspace, ratePerS (number) and burst (integer) are required")
    }
    return jsonResponse(state.runLog.checkWindows(workspace, ratePerS, burst))
}

private fun searchHeaders(
    state: WorkerState,
    request: Request,
): Response {
    val names = state.headerLog.namesContaining(request.bodyString())
    return jsonResponse(HeaderSearch(names.isNotEmpty(), names))
}
