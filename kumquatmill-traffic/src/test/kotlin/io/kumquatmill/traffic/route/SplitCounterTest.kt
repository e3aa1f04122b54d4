package io.kumquatmill.traffic.route

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.traffic.model.RoutePart
import io.kumquatmill.traffic.route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class SplitCounterTest {
    @Test
    fun `parts get exactly their weights`() {
        val split = route(parts = listOf(RoutePart(UpstreamId("a"), 90.0), RoutePart(UpstreamId("b"), 10.0)))
        val counter = SplitCounter()
        val counts = (1..200).groupingBy { counter.next(split)?.value }.eachCount()
        assertEquals(mapOf<String?, Int>("a" to 180, "b" to 20), counts)
    }

    @Test
    fun `a part without weight gets nothing`() {
        val counter = SplitCounter()
        val only = route(parts = listOf(RoutePart(UpstreamId("a"), 0.0), RoutePart(UpstreamId("b"), 5.0)))
        assertEquals(UpstreamId("b"), counter.next(only))
        assertNull(counter.next(route(parts = listOf(RoutePart(UpstreamId("a"), 0.0)))))
    }
}
