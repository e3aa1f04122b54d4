package io.kumquatmill.gateway.closing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against connections that linger in any number, or as long as their peers send. */
class LingeringConnectionsTest {
    private val connections = LingeringConnections<String>(maxConnections = 2, maxBytes = 100)

    @Test
    fun `the connection that has lingered longest gives way`() {
        assertEquals(emptyList(), connections.add("a") + connections.add("b"))
        assertEquals(listOf("a"), connections.add("c"))
        assertTrue(connections.remove("b"))
        assertFalse(connections.remove("a"))
        assertEquals(emptyList(), connections.add("d"))
        assertEquals(2, connections.count)
    }

    @Test
    fun `a connection on which too much is sent lingers no longer`() {
        connections.add("a")
        assertTrue(connections.drop("a", 60))
        assertTrue(connections.drop("a", 40))
        assertFalse(connections.drop("a", 1))
        assertFalse(connections.drop("unknown", 0))
    }
}
