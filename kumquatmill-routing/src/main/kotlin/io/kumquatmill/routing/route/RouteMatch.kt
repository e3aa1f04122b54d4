package io.kumquatmill.routing.route

import io.kumquatmill.routing.model.Route

/** Result of a [RouteTable] lookup. */
sealed interface RouteMatch {
    /** The request matches [route]. */
    data class Matched(
        val route: Route,
    ) : RouteMatch

    /** No route matches the path, or the path is malformed or ambiguous. */
    data object UnknownRoute : RouteMatch

    /** Routes match the path, but only for the methods in [allowedMethods]. */
    data class MethodNotAllowed(
        val allowedMethods: Set<String>,
    ) : RouteMatch
}
