package io.kumquatmill.standins.http

import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** JSON format of the control endpoints. */
internal val standinJson: Json =
    Json {
        encodeDefaults = true
    }

/** Decodes the JSON body as [T], or returns null if the body is invalid. */
internal inline fun <reified T> Request.jsonBodyOrNull(): T? =
    try {
        standinJson.decodeFromString<T>(bodyString())
    } catch (_: IllegalArgumentException) {
        null
    }

/** Runs [action] and returns a 204 response. */
internal fun noContentResponse(action: () -> Unit): Response {
    action()
    return Response(Status.NO_CONTENT)
}

/** Returns a response with [value] encoded as JSON. */
internal inline fun <reified T> jsonResponse(
    value: T,
    status: Status = Status.OK,
): Response =
    Response(status)
        .header("Content-Type", "application/json")
        .body(standinJson.encodeToString(value))
