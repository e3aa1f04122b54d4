package io.kumquatmill.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.http.HeaderNames
import org.http4k.core.Request

private const val BEARER_PREFIX = "bearer "

/** Returns the key in the Authorization header of [request], null without that header, or an error message if it is invalid. */
internal fun parseBearerKey(request: Request): Either<String, String?> {
    val values = request.headerValues(HeaderNames.AUTHORIZATION).filterNotNull()
    if (values.isEmpty()) return null.right()
    if (values.size > 1) return "there are ${values.size} Authorization headers: send one".left()
    val value = values.single().trim()
    if (!value.lowercase().startsWith(BEARER_PREFIX)) return "the Authorization header holds no bearer token: send Bearer KEY".left()
    val key = value.drop(BEARER_PREFIX.length).trim()
    return if (key.isEmpty()) "the bearer token is empty: send Bearer KEY".left() else key.right()
}
