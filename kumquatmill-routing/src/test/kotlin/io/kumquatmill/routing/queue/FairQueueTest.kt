package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class FairQueueTest {
    private val queue = FairQueue(FairQueueSettings(maxPerWorkspace = 100))

    @Test
    fun `workspaces are served in proportion to their weights`() {
        repeat(90) { queue.offer(0, request("small-$it", "small")) }
        repeat(90) { queue.offer(0, request("large-$it", "large", weight = 2)) }
        val served = dispatchUpTo(60).groupingBy { it.workspace.value }.eachCount()
        assertEquals(mapOf("small" to 20, "large" to 40), served)
    }

    @Test
    fun `a workspace that starts to wait is served within one round`() {
        repeat(100) { queue.offer(0, request("large-$it", "large")) }
        queue.offer(0, request("small", "small"))
        assertTrue("small" in dispatchUpTo(2).map { it.id.value }, "the new workspace should be among the first two served")
    }

    @Test
    fun `a request that can't meet its deadline is refused on arrival`() {
        repeat(50) { queue.offer(0, request("r-$it", "small")) }
        for (nowMs in 100L..1_000L step 100) queue.dispatch(nowMs, dispatchAtMost(1))
        val offer = assertIs<QueueOfferResult.Refused>(queue.offer(1_000, request("late", "small", deadlineAtMs = 1_500)))
        assertEquals(RefusalReason.NO_CAPACITY, offer.outcome.reason)
        assertTrue(offer.outcome.retryAfterMs > 500, "retry after ${offer.outcome.retryAfterMs} ms, expected the time that the queue needs")
        assertIs<QueueOfferResult.Queued>(queue.offer(1_000, request("early", "small", deadlineAtMs = 60_000)))
    }

    @Test
    fun `a wait for a rate limit does not count as a wait for slots`() {
        queue.offer(0, request("limited", "large"))
        for (nowMs in 0L..4_000L step 1_000) {
            queue.dispatch(nowMs) { if (it.workspace.value == "large") DispatchStatus.SKIP_WORKSPACE else DispatchStatus.DISPATCHED }
        }
        assertIs<QueueOfferResult.Queued>(queue.offer(4_000, request("quick", "small", deadlineAtMs = 4_100)))
    }

    @Test
    fun `a waiting request expires as soon as it can't meet its deadline`() {
        queue.offer(0, request("patient", "small", deadlineAtMs = 50_000))
        queue.offer(0, request("urgent", "small", deadlineAtMs = 500, serviceMs = 100))
        assertEquals(emptyList(), queue.expire(400))
        val expired = queue.expire(401).single()
        assertEquals("urgent" to RefusalReason.DEADLINE_EXCEEDED, expired.request.id.value to expired.outcome.reason)
        assertEquals(emptyList(), queue.expire(49_990))
        assertEquals(listOf("patient"), queue.expire(50_001).map { it.request.id.value })
        assertEquals(0, queue.size)
    }

    @Test
    fun `a cancelled request is not dispatched`() {
        queue.offer(0, request("a", "small"))
        queue.offer(0, request("b", "small"))
        assertTrue(queue.cancel(RequestId("a")))
        assertEquals(listOf("b"), dispatchUpTo(2).map { it.id.value })
        assertTrue(!queue.cancel(RequestId("b")))
    }

    @Test
    fun `a skipped workspace keeps its position and does not block the others`() {
        queue.offer(0, request("limited", "large"))
        queue.offer(0, request("small-1", "small"))
        queue.offer(0, request("small-2", "small"))
        val served = ArrayList<String>()
        queue.dispatch(0) { request ->
            if (request.workspace.value == "large") DispatchStatus.SKIP_WORKSPACE else dispatched { served += request.id.value }
        }
        assertEquals(listOf("small-1", "small-2"), served)
        queue.offer(0, request("small-3", "small"))
        assertEquals(listOf("limited", "small-3"), dispatchUpTo(2).map { it.id.value })
    }

    @Test
    fun `the queue of each workspace is bounded`() {
        repeat(100) { queue.offer(0, request("r-$it", "large")) }
        val offer = assertIs<QueueOfferResult.Refused>(queue.offer(0, request("one too many", "large")))
        assertEquals(RefusalReason.QUEUE_FULL, offer.outcome.reason)
        assertIs<QueueOfferResult.Queued>(queue.offer(0, request("other", "small")))
    }

    @Test
    fun `workspaces that no longer wait are evicted`() {
        for (number in 1..10_000) {
            queue.offer(number.toLong(), request("r-$number", "workspace-$number", deadlineAtMs = number + 5_000L))
            queue.dispatch(number.toLong()) { DispatchStatus.DISPATCHED }
        }
        assertTrue(queue.workspaceCount <= 10, "workspaces in memory: ${queue.workspaceCount}, expected at most 10")
    }

    private fun dispatchUpTo(count: Int): List<QueuedRequest> {
        val served = ArrayList<QueuedRequest>()
        queue.dispatch(0) { if (served.size < count) dispatched { served.add(it) } else DispatchStatus.NO_SLOTS }
        return served
    }

    private fun dispatched(action: () -> Unit): DispatchStatus {
        action()
        return DispatchStatus.DISPATCHED
    }

    private fun dispatchAtMost(count: Int): (QueuedRequest) -> DispatchStatus {
        var remaining = count
        return { if (remaining-- > 0) DispatchStatus.DISPATCHED else DispatchStatus.NO_SLOTS }
    }

    private fun request(
        id: String,
        workspace: String,
        weight: Int = 1,
        deadlineAtMs: Long = 5_000,
        serviceMs: Long = 10,
    ) = QueuedRequest(RequestId(id), WorkspaceId(workspace), weight, deadlineAtMs, serviceMs)
}
