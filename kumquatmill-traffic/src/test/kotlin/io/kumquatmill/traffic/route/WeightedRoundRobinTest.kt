package io.kumquatmill.traffic.route

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.WeightedUpstream
import io.kumquatmill.traffic.route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class WeightedRoundRobinTest {
    @Test
    fun `upstreams receive requests exactly in proportion to their weights`() {
        val splitRoute = route(weightedUpstreams = listOf(WeightedUpstream(UpstreamId("a"), 90.0), WeightedUpstream(UpstreamId("b"), 10.0)))
        val roundRobin = WeightedRoundRobin()
        val counts = (1..200).groupingBy { roundRobin.next(splitRoute)?.value }.eachCount()
        assertEquals(mapOf<String?, Int>("a" to 180, "b" to 20), counts)
    }

    @Test
    fun `an upstream with weight zero receives no requests`() {
        val roundRobin = WeightedRoundRobin()
        val zeroWeightRoute =
            route(weightedUpstreams = listOf(WeightedUpstream(UpstreamId("a"), 0.0), WeightedUpstream(UpstreamId("b"), 5.0)))
        assertEquals(UpstreamId("b"), roundRobin.next(zeroWeightRoute))
        assertNull(roundRobin.next(route(weightedUpstreams = listOf(WeightedUpstream(UpstreamId("a"), 0.0)))))
    }
}
