package io.kumquatmill.traffic.route

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.RoutePart
import io.kumquatmill.traffic.model.TrafficRoute

/**
 * Deals the requests of a route over its parts by smooth weighted round robin.
 *
 * It counts requests, not keys, so that few or skewed keys do not move the shares off their weights.
 */
class SplitCounter {
    private val credits = HashMap<RouteId, MutableMap<UpstreamId, Double>>()

    /** Returns the upstream for the next request of [route], or null when no part has a weight. */
    fun next(route: TrafficRoute): UpstreamId? {
        val parts = route.parts.filter { it.weight > 0 }
        if (parts.size <= 1) return parts.firstOrNull()?.upstream
        val creditOf = credits.getOrPut(route.id) { HashMap() }
        creditOf.keys.retainAll(parts.mapTo(HashSet()) { it.upstream })
        val total = parts.sumOf(RoutePart::weight)
        parts.forEach { creditOf.merge(it.upstream, it.weight, Double::plus) }
        val chosen = parts.maxBy { creditOf.getValue(it.upstream) }.upstream
        creditOf.merge(chosen, -total, Double::plus)
        return chosen
    }
}
