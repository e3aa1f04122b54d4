package io.kumquatmill.gateway.caller

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against closing a connection between two of its requests, which loses those that were read ahead. */
class OpenConnectionsTest {
    @Test
    fun `a connection with requests read ahead is not idle`() {
        val connections = OpenConnections<String>(maxOpen = 1) { it == "ahead" }
        listOf("ahead", "idle", "new").forEach { connections.onRequest(it) }
        listOf("ahead", "idle").forEach { connections.onRequestCompleted(it, isOpen = true) }
        assertEquals(listOf("idle"), connections.takeExcess())
        assertEquals(2, connections.openCount)
    }
}
