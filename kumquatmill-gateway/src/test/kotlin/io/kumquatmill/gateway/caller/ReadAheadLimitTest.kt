package io.kumquatmill.gateway.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against callers that fill the memory of the host with requests and responses ahead of their turn. */
class ReadAheadLimitTest {
    private val limit = ReadAheadLimit(maxRequests = 4, maxHeadBytes = 1_000, maxHeldBytes = 5_000, maxHostBytes = 7_000)

    @Test
    fun `requests, heads and responses of a connection are bounded`() {
        assertTrue(limit.mayStart(requests = 3, unanswered = 3, heldBytes = 1_000, largestBytes = 1_000))
        assertFalse(limit.mayStart(requests = 3, unanswered = 3, heldBytes = 1_001, largestBytes = 1_000))
        assertFalse(limit.mayStart(requests = 4, unanswered = 0, heldBytes = 0, largestBytes = 0))
        assertEquals(listOf(1_000, 400, 0, 0), listOf(0, 600, 1_000, 1_200).map { limit.readableBytes(it) })
        assertFalse(limit.tryHoldResponse(heldBytes = 4_000, bytes = 1_001))
        assertTrue(limit.tryHoldResponse(heldBytes = 4_000, bytes = 1_000))
    }

    @Test
    fun `the bytes of all connections are bounded, and room returns when they are released`() {
        assertTrue(limit.tryHoldResponse(heldBytes = 0, bytes = 5_000))
        limit.holdHeads(1_700)
        assertFalse(limit.tryHoldResponse(heldBytes = 0, bytes = 301))
        assertEquals(300, limit.readableBytes(bufferedBytes = 100))
        assertTrue(limit.tryHoldResponse(heldBytes = 0, bytes = 300))
        assertFalse(limit.mayStart(requests = 0, unanswered = 0, heldBytes = 0, largestBytes = 0))
        assertEquals(0, limit.readableBytes(bufferedBytes = 100))
        assertEquals(512, limit.readableBytes(bufferedBytes = 0), "a disconnect is detected also without room")
        limit.release(7_000)
        assertEquals(0, limit.hostBytes)
        assertTrue(limit.mayStart(requests = 0, unanswered = 0, heldBytes = 0, largestBytes = 0))
    }

    @Test
    fun `released room goes to those that have waited longest and fit`() {
        val called = ArrayList<String>()
        limit.holdHeads(7_000)
        listOf("a" to 600L, "b" to 900L, "c" to 300L).forEach { (name, bytes) -> limit.awaitRoom(bytes) { called += name } }
        val left: () -> Unit = { called += "removed" }
        limit.awaitRoom(1, left)
        limit.stopWaiting(left)
        limit.release(900)
        assertEquals(listOf("a", "c"), called)
        limit.release(1)
        assertEquals(listOf("a", "c", "b"), called)
    }
}
