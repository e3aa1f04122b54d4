package io.kumquatmill.routing.model

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId

/**
 * An entry of the route table.
 *
 * A request matches when its path is [pathPrefix] or continues it after a slash, and its method is in [methods].
 * Requests on a route that is not [isIdempotent] run at most once. Requests on a route that [isOpen] need no key.
 */
data class Route(
    val id: RouteId,
    val pathPrefix: String,
    val methods: Set<String>,
    val upstream: UpstreamId,
    val isIdempotent: Boolean,
    val isOpen: Boolean = false,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
) {
    companion object {
        const val DEFAULT_DEADLINE_MS: Long = 5_000
    }
}
