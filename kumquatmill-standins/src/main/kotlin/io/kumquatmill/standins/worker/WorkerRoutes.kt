package io.kumquatmill.standins.worker

import io.kumquatmill.standins.http.emptyResponse
import io.kumquatmill.standins.http.jsonBodyOrNull
import io.kumquatmill.standins.http.jsonResponse
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

/** State of a worker as its control endpoint tells it. */
@Serializable
data class WorkerControlState(
    val name: String,
    val load: WorkerLoad,
    val faults: WorkerFaults,
)

/** Result of searching the headers that workers received for a text. */
@Serializable
data class HeaderSearch(
    val isFound: Boolean,
    val names: Set<String>,
)

/** Routes of the load endpoint and of the control endpoints; runs and headers are those of the whole process. */
internal fun workerRoutes(state: WorkerState): HttpHandler =
    routes(
        "/load" bind GET to { jsonResponse(state.reportedLoad()) },
        "/control/state" bind GET to { jsonResponse(WorkerControlState(state.settings.name, state.load(), state.faults)) },
        "/control/faults" bind PUT to { request -> putFaults(state, request) },
        "/control/drain" bind POST to { setDraining(state, isDraining = true) },
        "/control/undrain" bind POST to { setDraining(state, isDraining = false) },
        "/control/cold" bind POST to { emptyResponse { state.restartCold() } },
        "/control/silence" bind POST to { emptyResponse { state.silenceConnections() } },
        "/control/runs" bind GET to { request -> jsonResponse(state.runLog.runs(request.query("workspace"))) },
        "/control/runs" bind DELETE to { emptyResponse { state.runLog.clear() } },
        "/control/window-check" bind GET to { request -> checkWindows(state, request) },
        "/control/headers" bind GET to { jsonResponse(state.headerLog.names()) },
        "/control/headers/search" bind POST to { request -> searchHeaders(state, request) },
    )

private fun putFaults(
    state: WorkerState,
    request: Request,
): Response {
    state.faults = request.jsonBodyOrNull<WorkerFaults>() ?: return Response(Status.BAD_REQUEST).body("the body is no fault setting")
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
        return Response(Status.BAD_REQUEST).body("give workspace, ratePerS and burst")
    }
    return jsonResponse(state.runLog.checkWindows(workspace, ratePerS, burst))
}

private fun searchHeaders(
    state: WorkerState,
    request: Request,
): Response {
    val names = state.headerLog.namesWith(request.bodyString())
    return jsonResponse(HeaderSearch(names.isNotEmpty(), names))
}
