package io.kumquatmill.traffic.fleet

import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FleetBookTest {
    private val self = host("h1")
    private val book = FleetBook(self)

    private fun named(
        nowMs: Long,
        region: String = "east",
    ) = book.hostsFor(nowMs, region, isServing = true).map { it.host }.toSet()

    @Test
    fun `a host that only the store knows is not named`() {
        book.learn(0, listOf(self, host("h2")))
        assertEquals(setOf("h1"), named(0))
    }

    @Test
    fun `a host that was heard is named until it is silent`() {
        book.hear(0, report(host("h2")))
        assertEquals(setOf("h1", "h2"), named(2_500))
        assertEquals(setOf("h1"), named(2_501))
    }

    @Test
    fun `a host that stops is not named any more at once`() {
        book.hear(0, report(host("h2")))
        book.hear(10, report(host("h2"), sequence = 2, isServing = false))
        assertEquals(setOf("h1"), named(10))
    }

    @Test
    fun `callers of a region without hosts get those of the others`() {
        book.hear(0, report(host("h2", "west-a")))
        assertEquals(setOf("h2"), named(0, "west"))
        assertEquals(setOf("h1", "h2"), named(0, "north"))
    }

    @Test
    fun `a report that was overtaken changes nothing, one of a later life does`() {
        assertTrue(book.hear(0, report(host("h2"), sequence = 5)))
        assertFalse(book.hear(1, report(host("h2"), sequence = 4)))
        assertTrue(book.hear(2, report(host("h2"), sequence = 1, incarnation = 2)))
        assertFalse(book.hear(3, report(host("h2"), sequence = 9, incarnation = 1)))
    }

    @Test
    fun `a host that hears nobody is isolated after a while`() {
        assertFalse(book.isIsolated(0))
        book.hear(0, report(host("h2")))
        assertFalse(book.isIsolated(8_000))
        assertTrue(book.isIsolated(8_001))
    }
}
