package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class FairQueueTest {
    private val queue = FairQueue(QueueSettings(maxPerWorkspace = 100))

    @Test
    fun `workspaces are served by weight`() {
        repeat(90) { queue.offer(0, request("small-$it", "small")) }
        repeat(90) { queue.offer(0, request("large-$it", "large", weight = 2)) }
        val served = take(60).groupingBy { it.workspace.value }.eachCount()
        assertEquals(mapOf("small" to 20, "large" to 40), served)
    }

    @Test
    fun `a newcomer waits for one turn of the others only`() {
        repeat(100) { queue.offer(0, request("large-$it", "large")) }
        queue.offer(0, request("small", "small"))
        assertTrue("small" in take(2).map { it.id.value }, "the newcomer should be among the first two served")
    }

    @Test
    fun `a request that can't meet its deadline is refused when it enters`() {
        repeat(50) { queue.offer(0, request("r-$it", "small")) }
        for (nowMs in 100L..1_000L step 100) queue.dispatch(nowMs, atMost(1))
        val offer = assertIs<QueueOffer.Refused>(queue.offer(1_000, request("late", "small", deadlineAtMs = 1_500)))
        assertEquals(RefusalReason.NO_CAPACITY, offer.outcome.reason)
        assertTrue(offer.outcome.retryAfterMs > 500, "retry after ${offer.outcome.retryAfterMs} ms, expected the time that the queue needs")
        assertIs<QueueOffer.Queued>(queue.offer(1_000, request("early", "small", deadlineAtMs = 60_000)))
    }

    @Test
    fun `a wait for a rate does not count as a wait for slots`() {
        queue.offer(0, request("limited", "large"))
        for (nowMs in 0L..4_000L step 1_000) {
            queue.dispatch(nowMs) { if (it.workspace.value == "large") DispatchStep.PASS_OVER_WORKSPACE else DispatchStep.DISPATCHED }
        }
        assertIs<QueueOffer.Queued>(queue.offer(4_000, request("quick", "small", deadlineAtMs = 4_100)))
    }

    @Test
    fun `a waiting request is given up as soon as it can't meet its deadline`() {
        queue.offer(0, request("patient", "small", deadlineAtMs = 50_000))
        queue.offer(0, request("urgent", "small", deadlineAtMs = 500, serviceMs = 100))
        assertEquals(emptyList(), queue.expire(400))
        val refusal = queue.expire(401).single()
        assertEquals("urgent" to RefusalReason.DEADLINE_EXCEEDED, refusal.request.id.value to refusal.outcome.reason)
        assertEquals(emptyList(), queue.expire(49_990))
        assertEquals(listOf("patient"), queue.expire(50_001).map { it.request.id.value })
        assertEquals(0, queue.size)
    }

    @Test
    fun `a cancelled request is not served`() {
        queue.offer(0, request("a", "small"))
        queue.offer(0, request("b", "small"))
        assertTrue(queue.cancel(RequestId("a")))
        assertEquals(listOf("b"), take(2).map { it.id.value })
        assertTrue(!queue.cancel(RequestId("b")))
    }

    @Test
    fun `a workspace that is passed over keeps its place and does not hold up the others`() {
        queue.offer(0, request("limited", "large"))
        queue.offer(0, request("small-1", "small"))
        queue.offer(0, request("small-2", "small"))
        val served = ArrayList<String>()
        queue.dispatch(0) { request ->
            if (request.workspace.value == "large") DispatchStep.PASS_OVER_WORKSPACE else dispatched { served += request.id.value }
        }
        assertEquals(listOf("small-1", "small-2"), served)
        queue.offer(0, request("small-3", "small"))
        assertEquals(listOf("limited", "small-3"), take(2).map { it.id.value })
    }

    @Test
    fun `the queue of a workspace is bounded`() {
        repeat(100) { queue.offer(0, request("r-$it", "large")) }
        val offer = assertIs<QueueOffer.Refused>(queue.offer(0, request("one too many", "large")))
        assertEquals(RefusalReason.QUEUE_FULL, offer.outcome.reason)
        assertIs<QueueOffer.Queued>(queue.offer(0, request("other", "small")))
    }

    @Test
    fun `workspaces that no longer wait are forgotten`() {
        for (number in 1..10_000) {
            queue.offer(number.toLong(), request("r-$number", "workspace-$number", deadlineAtMs = number + 5_000L))
            queue.dispatch(number.toLong()) { DispatchStep.DISPATCHED }
        }
        assertTrue(queue.workspaceCount <= 10, "workspaces in memory: ${queue.workspaceCount}, expected a few")
    }

    private fun take(count: Int): List<QueuedRequest> {
        val served = ArrayList<QueuedRequest>()
        queue.dispatch(0) { if (served.size < count) dispatched { served.add(it) } else DispatchStep.NO_SLOTS }
        return served
    }

    private fun dispatched(action: () -> Unit): DispatchStep {
        action()
        return DispatchStep.DISPATCHED
    }

    private fun atMost(count: Int): (QueuedRequest) -> DispatchStep {
        var left = count
        return { if (left-- > 0) DispatchStep.DISPATCHED else DispatchStep.NO_SLOTS }
    }

    private fun request(
        id: String,
        workspace: String,
        weight: Int = 1,
        deadlineAtMs: Long = 5_000,
        serviceMs: Long = 10,
    ) = QueuedRequest(RequestId(id), WorkspaceId(workspace), weight, deadlineAtMs, serviceMs)
}
