package io.kumquatmill.routing.route

import io.kumquatmill.routing.model.Route

/** Result of a search in a [RouteTable]. */
sealed interface RouteMatch {
    /** The request belongs to [route]. */
    data class Matched(
        val route: Route,
    ) : RouteMatch

    /** No route has this path, or the path can be read in more than one way. */
    data object UnknownRoute : RouteMatch

    /** Routes with this path exist, but only for the methods in [allowed]. */
    data class MethodNotAllowed(
        val allowed: Set<String>,
    ) : RouteMatch
}
