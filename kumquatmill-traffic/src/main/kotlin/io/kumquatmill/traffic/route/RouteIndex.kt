package io.kumquatmill.traffic.route

import io.kumquatmill.traffic.model.TrafficRoute

/** Finds the route of a request: among the routes of its host, the one with the longest prefix of its path. */
class RouteIndex(
    routes: Collection<TrafficRoute>,
) {
    private val routesByHost: Map<String, List<TrafficRoute>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route for [host], the value of the `Host` header, and the undecoded [path]; null if no route matches. */
    fun match(
        host: String,
        path: String,
    ): TrafficRoute? = routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
