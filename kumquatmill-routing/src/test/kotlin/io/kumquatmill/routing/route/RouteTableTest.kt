package io.kumquatmill.routing.route

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.routing.model.Route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class RouteTableTest {
    private val status = route("status", "/status", "GET")
    private val browseOrders = route("browse-orders", "/status/orders", "GET")
    private val placeOrder = route("place-order", "/status/orders", "POST")
    private val table = RouteTable(listOf(status, browseOrders, placeOrder))

    @Test
    fun `the longest prefix on a segment boundary matches`() {
        assertRoute(status, "GET", "/status")
        assertRoute(status, "GET", "/status/ordersheet")
        assertRoute(browseOrders, "GET", "/status/orders/")
        assertRoute(placeOrder, "POST", "/status/orders/17?urgent=yes")
        assertEquals(RouteMatch.UnknownRoute, table.match("GET", "/statusboard"))
    }

    @Test
    fun `a method that the path does not support yields the supported methods`() {
        assertEquals(RouteMatch.MethodNotAllowed(setOf("GET", "POST")), table.match("DELETE", "/status/orders/17"))
    }

    @Test
    fun `an encoded path matches by its decoded form`() {
        assertRoute(placeOrder, "POST", "/status/%6Frders")
        assertRoute(status, "GET", "/status/50%25")
    }

    @Test
    fun `an ambiguous or malformed path matches no route`() {
        val ambiguousPaths =
            listOf(
                "/status/x/../orders",
                "/status/%2e%2e/orders",
                "/status/./orders",
                "/status//orders",
                "//status",
                "/status%2Forders",
                "/status%2forders",
                "/status/%256Frders",
                "/status/x/..;/orders",
                "/status/orders;v=1",
                "/status\\orders",
                "/status/%5Corders",
                "/status/%00orders",
                "/status/%zz",
                "/status/%4",
                "/status/%c0%af",
                "status",
                "",
            )
        for (path in ambiguousPaths) {
            assertEquals(RouteMatch.UnknownRoute, table.match("GET", path), "match of '$path'")
        }
    }

    @Test
    fun `a route at the root matches all other paths`() {
        val root = route("root", "/", "GET")
        assertEquals(RouteMatch.Matched(root), RouteTable(listOf(root, status)).match("GET", "/elsewhere/deep"))
        assertEquals(RouteMatch.Matched(root), RouteTable(listOf(root)).match("GET", "/"))
    }

    @Test
    fun `two routes with the same path and method are rejected`() {
        assertFailsWith<IllegalArgumentException> { RouteTable(listOf(status, route("other", "/status/", "GET"))) }
    }

    private fun assertRoute(
        expected: Route,
        method: String,
        path: String,
    ) = assertEquals(RouteMatch.Matched(expected), table.match(method, path), "match of $method $path")

    private fun route(
        id: String,
        prefix: String,
        method: String,
    ) = Route(RouteId(id), prefix, setOf(method), UpstreamId("status-service"), isIdempotent = method == "GET")
}
