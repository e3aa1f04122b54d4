package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace

/** Result of resolving a request's route and workspace from its host, path and key. */
sealed interface RouteResolution {
    /** The request matches [route] and belongs to [workspace], which is null for a request without a key where none is required. */
    data class Resolved(
        val route: TrafficRoute,
        val workspace: Workspace?,
    ) : RouteResolution

    /** The desired state has not been received yet, so requests cannot be resolved. */
    data object NotReady : RouteResolution

    /** No route matches the host and path. */
    data object UnknownRoute : RouteResolution

    /** The key is missing or belongs to no workspace. */
    data object UnknownKey : RouteResolution
}
