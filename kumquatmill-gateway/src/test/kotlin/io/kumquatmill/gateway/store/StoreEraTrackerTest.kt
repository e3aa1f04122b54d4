package io.kumquatmill.gateway.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class StoreEraTrackerTest {
    private val eras = StoreEraTracker()

    @Test
    fun `a store without eras has era 0`() {
        assertEquals(0, eras.onAnswer(null))
        assertNull(eras.era)
    }

    @Test
    fun `an answer of an earlier era is recognized`() {
        assertEquals(3, eras.onAnswer("3"))
        assertEquals(4, eras.onAnswer(" 4 "))
        assertNull(eras.onAnswer("3"))
        assertEquals(4, eras.era)
    }

    @Test
    fun `a missing, malformed, negative or huge era counts as the known one`() {
        eras.onAnswer("7")
        val invalid = listOf(null, "", "-1", "+8", "8.0", "x", "1e3", "99999", "9".repeat(60_000), "9223372036854775808", "\u0668")
        invalid.forEach { assertEquals(7, eras.onAnswer(it), "for ${it?.take(20)}") }
        assertEquals(7, eras.era)
    }

    @Test
    fun `an era far above the known one is ignored, so that one malformed answer does not make later ones look old`() {
        eras.onAnswer("7")
        assertEquals(7, eras.onAnswer("1008"))
        assertEquals(8, eras.onAnswer("8"))
    }
}
