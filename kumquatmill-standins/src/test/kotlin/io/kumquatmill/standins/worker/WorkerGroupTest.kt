package io.kumquatmill.standins.worker

import kotlin.test.Test
import kotlin.test.assertEquals

class WorkerGroupTest {
    @Test
    fun `a group is parsed from its four fields`() {
        assertEquals(WorkerGroup("urgent", 12, 3, 40.5), WorkerGroup.parse("urgent:12:3:40.5"))
    }

    @Test
    fun `a text with missing or invalid fields is rejected`() {
        val texts = listOf("", "urgent", "urgent:12:3", "urgent:x:3:40", ":12:3:40", "urgent:12:3:40:5")
        assertEquals(List(texts.size) { null }, texts.map(WorkerGroup::parse))
    }
}
