package io.kumquatmill.routing.route

import io.kumquatmill.routing.model.Route

/**
 * Finds the route of a request by the longest matching path prefix, on segment boundaries.
 *
 * Paths are matched after percent-decoding. A path that an upstream might interpret differently (dot segments, encoded
 * slashes, empty segments, path parameters) matches no route, so that the key and idempotency rules of a route can't be
 * bypassed.
 */
class RouteTable(
    routes: Collection<Route>,
) {
    private val routesByPrefix: Map<String, Map<String, Route>> =
        routes
            .groupBy { normalizedPrefix(it.pathPrefix) }
            .mapValues { (_, routesOfPrefix) -> routesByMethod(routesOfPrefix) }

    /** Returns the route of a request with [method] and [path]. A query string in [path] is ignored. */
    fun match(
        method: String,
        path: String,
    ): RouteMatch {
        val canonical = canonicalPathOrNull(path) ?: return RouteMatch.UnknownRoute
        val byMethod = findLongestPrefix(canonical) ?: return RouteMatch.UnknownRoute
        val route = byMethod[method] ?: return RouteMatch.MethodNotAllowed(byMethod.keys)
        return RouteMatch.Matched(route)
    }

    private fun findLongestPrefix(path: String): Map<String, Route>? {
        var end = path.length
        while (end >= 0) {
            routesByPrefix[path.substring(0, end)]?.let { return it }
            if (end == 0) return null
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }
}

private fun normalizedPrefix(prefix: String): String {
    require(prefix.startsWith("/")) { "path prefix '$prefix' does not start with '/': add the slash" }
    return requireNotNull(canonicalPathOrNull(prefix)) { "path prefix '$prefix' is ambiguous: write it decoded, without dot segments" }
}

private fun routesByMethod(routes: List<Route>): Map<String, Route> {
    val byMethod = LinkedHashMap<String, Route>()
    for (route in routes) {
        for (method in route.methods) {
            val duplicate = byMethod.put(method, route)
            require(duplicate == null) { "routes ${duplicate?.id} and ${route.id} both match $method ${route.pathPrefix}: remove one" }
        }
    }
    return byMethod
}
