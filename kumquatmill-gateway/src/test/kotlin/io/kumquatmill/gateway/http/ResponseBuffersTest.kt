package io.kumquatmill.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ResponseBuffersTest {
    private val buffers = ResponseBuffers(maxResponseBytes = 600, maxTotalBytes = 1_000)
    private val evicted = ArrayList<String>()

    private fun open(name: String) = buffers.open { evicted += name }

    @Test
    fun `the response that has been incomplete for the longest time gives way to others`() {
        val oldest = open("oldest").also { assertNull(it.add(ByteArray(500))) }
        val older = open("older").also { assertNull(it.holdFraming(400)) }
        repeat(3) { number -> assertNull(open("usual $number").run { add(ByteArray(90)).also { toByteArray() } }) }
        assertEquals(emptyList(), evicted)
        val usual = open("usual").also { assertNull(it.add(ByteArray(300))) }
        assertEquals(listOf("oldest"), evicted)
        assertNotNull(oldest.add(ByteArray(1)), "an evicted response takes no more")
        assertFailsWith<IllegalStateException>("its parts are gone") { oldest.toByteArray() }
        assertNull(usual.add(ByteArray(300)))
        assertNotNull(older.add(ByteArray(100)), "the longest holding one is refused itself")
        assertEquals(listOf("oldest"), evicted)
        assertEquals(1_000, buffers.heldBytes)
    }

    @Test
    fun `a response that holds everything itself is refused`() {
        val large = open("large")
        assertNull(large.holdFraming(800))
        assertNotNull(large.add(ByteArray(300)))
        assertEquals(emptyList(), evicted)
    }

    @Test
    fun `released memory is free, and released only once`() {
        val first = open("first")
        assertNull(first.add(ByteArray(500)))
        assertNull(first.holdFraming(400))
        assertNull(first.holdFraming(100))
        assertEquals(600, buffers.heldBytes)
        assertEquals(500, first.toByteArray().size)
        first.release()
        assertEquals(0, buffers.heldBytes)
    }

    @Test
    fun `reading waits for the next selection while connections that were closed since the last one take too much memory`() {
        val tasks = ArrayList<() -> Unit>()
        val buffers = ResponseBuffers(maxResponseBytes = 600, maxTotalBytes = 1_000, beforeSelection = { tasks += it })
        repeat(3) { buffers.open { }.holdFraming(400) }
        assertFalse(buffers.isReadingPaused, "one of them gave way")
        repeat(3) { buffers.open { }.holdFraming(400) }
        assertTrue(buffers.isReadingPaused, "three more gave way")
        tasks.single()()
        assertFalse(buffers.isReadingPaused)
    }
}
