package io.kumquatmill.bench.fit

import kotlin.test.Test
import kotlin.test.assertEquals

class LineTest {
    private val tolerance = 1e-9

    @Test
    fun `points on a line have no residual`() {
        val line = Line.fit(listOf(Point(1.0, 5.0), Point(2.0, 7.0), Point(4.0, 11.0)))
        assertEquals(2.0, line.slope, tolerance)
        assertEquals(3.0, line.intercept, tolerance)
        assertEquals(0.0, line.residual, tolerance)
        assertEquals(23.0, line.at(10.0), tolerance)
    }

    @Test
    fun `points beside the line count in the residual`() {
        val line = Line.fit(listOf(Point(0.0, 1.0), Point(0.0, -1.0), Point(1.0, 1.0), Point(1.0, -1.0)))
        assertEquals(1.0, line.residual, tolerance)
    }

    @Test
    fun `points of one size give a flat line`() {
        assertEquals(Line(slope = 0.0, intercept = 2.0, residual = 0.0), Line.fit(listOf(Point(3.0, 2.0))))
    }
}
