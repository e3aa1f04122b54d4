package io.kumquatmill.bench.check

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BoundTest {
    @Test
    fun `an upper bound holds up to its limit`() {
        assertTrue(Bound("refusals", value = 0.0, limit = 0.0).holds)
        assertFalse(Bound("refusals", value = 1.0, limit = 0.0).holds)
    }

    @Test
    fun `a lower bound holds from its limit on`() {
        assertTrue(Bound("look-ups", value = 10.0, limit = 10.0, isUpper = false).holds)
        assertFalse(Bound("look-ups", value = 9.0, limit = 10.0, isUpper = false).holds)
    }
}
