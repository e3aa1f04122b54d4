package io.kumquatmill.bench.fit

import kotlin.test.Test
import kotlin.test.assertEquals

class LineTest {
    private val tolerance = 1e-9

    @Test
    fun `residual is zero for points on a line`() {
        val line = Line.fit(listOf(Point(1.0, 5.0), Point(2.0, 7.0), Point(4.0, 11.0)))
        assertEquals(2.0, line.slope, tolerance)
        assertEquals(3.0, line.intercept, tolerance)
        assertEquals(0.0, line.residual, tolerance)
        assertEquals(23.0, line.at(10.0), tolerance)
    }

    @Test
    fun `residual is the root mean square distance from the line`() {
        val line = Line.fit(listOf(Point(0.0, 1.0), Point(0.0, -1.0), Point(1.0, 1.0), Point(1.0, -1.0)))
        assertEquals(1.0, line.residual, tolerance)
    }

    @Test
    fun `line is horizontal if all points have the same size`() {
        assertEquals(Line(slope = 0.0, intercept = 2.0, residual = 0.0), Line.fit(listOf(Point(3.0, 2.0))))
    }
}
