package io.kumquatmill.gateway.response

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against responses that fill the memory because their callers don't read them, and against closing callers that do. */
class UnreadResponsesTest {
    private val unread = UnreadResponses<String>(maxBytes = 1_000)

    @Test
    fun `the caller that has read nothing for longest gives way, of several the one that has read least`() {
        listOf("steady" to 0L, "stopped" to 300L, "never" to 100L).forEach { (name, read) -> unread.add(0, name, 300, read) }
        assertEquals(emptyList(), unread.takeExcess())
        unread.observe(500) { mapOf("steady" to 10L, "stopped" to 300L, "never" to 100L).getValue(it) }
        unread.add(600, "new", 300, 0)
        assertEquals(listOf("never"), unread.takeExcess())
        assertEquals(900, unread.totalBytes)
        unread.add(700, "large", 800, 0)
        assertEquals(listOf("stopped", "steady", "new"), unread.takeExcess())
        assertEquals(800, unread.totalBytes)
    }

    @Test
    fun `a response that was read completely takes no memory`() {
        unread.add(0, "read", 900, 0)
        unread.remove("read")
        unread.remove("read")
        unread.add(1, "next", 900, 0)
        assertEquals(emptyList(), unread.takeExcess())
        assertEquals(900, unread.totalBytes)
    }
}
