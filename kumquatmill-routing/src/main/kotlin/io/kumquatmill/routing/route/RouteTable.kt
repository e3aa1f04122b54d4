package io.kumquatmill.routing.route

import io.kumquatmill.routing.model.Route

/**
 * Finds the route of a request by the longest path prefix that ends at a slash.
 *
 * The decoded path decides. A path that an upstream might read differently (dot segments, encoded slashes, empty
 * segments, path parameters) belongs to no route, so that the key and repeat rules of a route can't be bypassed.
 */
class RouteTable(
    routes: Collection<Route>,
) {
    private val routesByPrefix: Map<String, Map<String, Route>> =
        routes
            .groupBy { normalizedPrefix(it.pathPrefix) }
            .mapValues { (_, sharing) -> routesByMethod(sharing) }

    /** Returns the route of a request with [method] and [path]; a query part of [path] is ignored. */
    fun match(
        method: String,
        path: String,
    ): RouteMatch {
        val canonical = canonicalPath(path) ?: return RouteMatch.UnknownRoute
        val byMethod = longestPrefix(canonical) ?: return RouteMatch.UnknownRoute
        val route = byMethod[method] ?: return RouteMatch.MethodNotAllowed(byMethod.keys)
        return RouteMatch.Matched(route)
    }

    private fun longestPrefix(path: String): Map<String, Route>? {
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
    require(prefix.startsWith("/")) { "path prefix '$prefix' does not start with '/': add it" }
    return requireNotNull(canonicalPath(prefix)) { "path prefix '$prefix' is ambiguous: write it decoded, without dot segments" }
}

private fun routesByMethod(routes: List<Route>): Map<String, Route> {
    val byMethod = LinkedHashMap<String, Route>()
    for (route in routes) {
        for (method in route.methods) {
            val other = byMethod.put(method, route)
            require(other == null) { "routes ${other?.id} and ${route.id} share $method ${route.pathPrefix}: remove one" }
        }
    }
    return byMethod
}
