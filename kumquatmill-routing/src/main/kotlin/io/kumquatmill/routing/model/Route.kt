package io.kumquatmill.routing.model

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId

/**
 * An entry of the route table.
 *
 * A request matches when its method is in [methods] and its path equals [pathPrefix] or continues it after a slash.
 * Requests on a route that is not [isIdempotent] run at most once. Requests on a route that [isPublic] need no key.
 * [deadlineMs] is the time from the arrival of a request by which it must be answered; a caller may ask for a shorter one.
 */
data class Route(
    val id: RouteId,
    val pathPrefix: String,
    val methods: Set<String>,
    val upstream: UpstreamId,
    val isIdempotent: Boolean,
    val isPublic: Boolean = false,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
) {
    companion object {
        const val DEFAULT_DEADLINE_MS: Long = 5_000
    }
}
