package io.kumquatmill.traffic.route

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.WeightedUpstream

/**
 * Distributes the requests of a route over its upstreams by smooth weighted round robin.
 *
 * It counts requests instead of hashing keys, so that few or skewed keys do not distort the proportions.
 */
class WeightedRoundRobin {
    private val creditsByRoute = HashMap<RouteId, MutableMap<UpstreamId, Double>>()

    /** Returns the upstream for the next request of [route], or null if no upstream has a positive weight. */
    fun next(route: TrafficRoute): UpstreamId? = next(route) { creditsByRoute.getOrPut(route.id) { HashMap() } }

    /** Returns the upstream that [next] would return, without using its turn. */
    fun peek(route: TrafficRoute): UpstreamId? = next(route) { HashMap(creditsByRoute[route.id].orEmpty()) }

    private inline fun next(
        route: TrafficRoute,
        creditsOf: () -> MutableMap<UpstreamId, Double>,
    ): UpstreamId? {
        val upstreams = route.weightedUpstreams.filter { it.weight > 0 }
        if (upstreams.size <= 1) return upstreams.firstOrNull()?.upstream
        val credits = creditsOf()
        credits.keys.retainAll(upstreams.mapTo(HashSet()) { it.upstream })
        val total = upstreams.sumOf(WeightedUpstream::weight)
        upstreams.forEach { credits.merge(it.upstream, it.weight, Double::plus) }
        val chosen = upstreams.maxBy { credits.getValue(it.upstream) }.upstream
        credits.merge(chosen, -total, Double::plus)
        return chosen
    }
}
