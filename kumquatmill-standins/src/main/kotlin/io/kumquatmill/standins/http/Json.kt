package io.kumquatmill.standins.http

import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status

/** JSON format of the control endpoints. */
internal val standinJson: Json =
    Json {
        encodeDefaults = true
    }

/** Returns a response with [value] as JSON. */
internal inline fun <reified T> jsonResponse(
    value: T,
    status: Status = Status.OK,
): Response =
    Response(status)
        .header("Content-Type", "application/json")
        .body(standinJson.encodeToString(value))
