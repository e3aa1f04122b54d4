package io.kumquatmill.traffic.route

import io.kumquatmill.traffic.route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RouteIndexTest {
    private val index = RouteIndex(listOf(route("outer", "/a/"), route("inner", "/a/b/"), route("other", "/c/")))

    @Test
    fun `the longest prefix wins`() {
        assertEquals("inner", index.match("shop.example", "/a/b/x")?.id?.value)
        assertEquals("outer", index.match("shop.example", "/a/bc")?.id?.value)
    }

    @Test
    fun `the host is matched without regard to case and port`() = assertEquals("other", index.match("Shop.Example:8080", "/c/1")?.id?.value)

    @Test
    fun `an unknown host or path matches no route`() {
        assertNull(index.match("shop.example", "/d/"))
        assertNull(index.match("shop.example", "/a"))
        assertNull(index.match("else.example", "/a/1"))
    }
}
