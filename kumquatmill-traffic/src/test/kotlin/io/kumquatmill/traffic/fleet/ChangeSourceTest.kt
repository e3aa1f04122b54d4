package io.kumquatmill.traffic.fleet

import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against hosts of a zone that all watch the store, and against a host that keeps asking a reader that cannot answer. */
class ChangeSourceTest {
    private val self = host("h5").copy(cores = 0.2)
    private val fleet = FleetView(self)
    private val source = ChangeSource(fleet)

    private fun fleetOf(size: Int) = fleet.updateHosts(0, (1..size).map { host("h$it") })

    private fun reader(nowMs: Long = 0) = source.reader(nowMs, isServing = true)?.host

    @Test
    fun `the host of the zone with most cores is asked, then the first by name`() {
        fleetOf(98)
        assertNull(reader(), "no peer has reported")
        fleet.onReport(0, report(host("h9")))
        assertNull(reader(), "this host has more cores")
        fleet.onReport(0, report(host("h8")).copy(cores = 1.5))
        fleet.onReport(0, report(host("h7")).copy(cores = 1.5))
        fleet.onReport(0, report(host("h1", "east-b")).copy(cores = 1.5))
        fleet.onReport(0, report(host("h2"), isServing = false).copy(cores = 1.5))
        assertEquals("h7", reader())
        assertEquals("h7", source.reader(0, isServing = false)?.host)
        assertEquals(700, source.batchMs(0, isServing = true))
    }

    @Test
    fun `a host whose reader did not answer asks the store for a while, then another peer, and later the reader again`() {
        fleetOf(98)
        listOf("h7", "h8").forEach { fleet.onReport(0, report(host(it)).copy(cores = 1.5)) }
        source.onUnusable(100, "h7")
        assertNull(reader(5_000))
        assertEquals(1_200, source.batchMs(100, isServing = true))
        listOf("h7", "h8").forEach { fleet.onReport(5_000, report(host(it), sequence = 2).copy(cores = 1.5)) }
        assertEquals("h8", reader(5_100))
        assertNull(reader(11_000), "no fresh report")
        listOf("h7", "h8").forEach { fleet.onReport(15_000, report(host(it), sequence = 3).copy(cores = 1.5)) }
        assertEquals("h7", reader(15_100))
    }

    @Test
    fun `the reader collects changes for a shorter time and asks nobody`() {
        fleetOf(98)
        fleet.onReport(0, report(host("h7")).copy(cores = 0.1))
        assertEquals(300, source.batchMs(0, isServing = true))
        assertEquals(250, source.watchMs(0, isServing = true))
        assertEquals(700, source.batchMs(0, isServing = false), "a host that does not serve is no reader")
        assertNull(source.watchMs(0, isServing = false))
    }

    @Test
    fun `hosts of a smaller fleet all ask the store as before`() {
        fleetOf(50)
        fleet.onReport(0, report(host("h7")).copy(cores = 1.5))
        assertNull(reader())
        assertEquals(1_200, source.batchMs(0, isServing = true))
    }
}
