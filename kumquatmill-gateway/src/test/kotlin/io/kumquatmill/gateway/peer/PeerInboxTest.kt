package io.kumquatmill.gateway.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class PeerInboxTest {
    private val tasks = ArrayDeque<() -> Unit>()
    private val received = ArrayList<PeerMessage>()
    private val messages = List(5) { PeerMessage() }

    @Test
    fun `messages that arrive before the event loop runs are delivered in order by one task`() {
        val inbox = PeerInbox(tasks::addLast) { received += it }
        messages.forEach(inbox::add)
        assertEquals(1, tasks.size)
        tasks.removeFirst()()
        assertEquals(messages, received)
        inbox.add(messages[0])
        assertEquals(1, tasks.size, "a message after the task must schedule another one")
    }

    /** Guards against an event loop that serves no caller while messages arrive as fast as they are handled. */
    @Test
    fun `a message that arrives during delivery waits for the next task`() {
        lateinit var inbox: PeerInbox
        inbox =
            PeerInbox(tasks::addLast) {
                received += it
                if (received.size < 100) inbox.add(it)
            }
        messages.forEach(inbox::add)
        tasks.removeFirst()()
        assertEquals(messages.size, received.size)
        assertEquals(1, tasks.size, "what has arrived meanwhile must be delivered by one further task")
        while (tasks.isNotEmpty()) tasks.removeFirst()()
        assertEquals(100 + messages.size - 1, received.size)
    }

    @Test
    fun `an unexpected error in one message does not hold up those behind it`() {
        val inbox =
            PeerInbox(tasks::addLast) {
                if (it === messages[1]) error("unexpected")
                received += it
            }
        messages.forEach(inbox::add)
        assertFailsWith<IllegalStateException> { tasks.removeFirst()() }
        tasks.removeFirst()()
        assertEquals(messages - messages[1], received)
    }

    @Test
    fun `messages beyond the capacity are dropped, and later ones are delivered`() {
        val inbox = PeerInbox(tasks::addLast) { received += it }
        repeat(10_000) { inbox.add(messages[0]) }
        tasks.removeFirst()()
        assertEquals(2_048, received.size)
        inbox.add(messages[1])
        tasks.removeFirst()()
        assertEquals(messages[1], received.last())
    }
}
