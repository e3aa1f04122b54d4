package io.kumquatmill.traffic.route

import io.kumquatmill.traffic.model.TrafficRoute

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
class RouteIndex(
    routes: Collection<TrafficRoute>,
) {
    private val routesByHost: Map<String, List<TrafficRoute>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route for the `Host` header [host] and the path as sent, or null when there is none. */
    fun match(
        host: String,
        path: String,
    ): TrafficRoute? = routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
