package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class WorkerSlotsTest {
    @Test
    fun `one request more than the slots is rejected`() =
        workerSlots().rejects(
            history {
                arrived(10, "r1")
                arrived(11, "r2")
                arrived(12, "r3")
            },
            12L to "w1 has 3 requests at a time, expected at most 2",
        )

    @Test
    fun `as many requests as slots are accepted on each worker`() =
        workerSlots() accepts
            history {
                listOf("r1", "r2").forEach { arrived(10, it, "w1") }
                listOf("r3", "r4").forEach { arrived(10, it, "w2") }
            }

    @Test
    fun `the end of an attempt frees its slot`() =
        workerSlots() accepts
            history {
                arrived(10, "r1")
                arrived(10, "r2")
                ended(20, "r1")
                arrived(20, "r3")
            }

    @Test
    fun `the end of an attempt on another worker frees no slot`() =
        workerSlots().rejects(
            history {
                arrived(10, "r1")
                arrived(10, "r2")
                ended(20, "r1", "w2")
                arrived(30, "r3")
            },
            30L to "w1 has 3 requests at a time, expected at most 2",
        )

    @Test
    fun `each further request is a violation while all slots are busy`() =
        workerSlots().rejects(
            history { (1..4).forEach { arrived(it * 10L, "r$it") } },
            30L to "w1 has 3 requests at a time, expected at most 2",
            40L to "w1 has 3 requests at a time, expected at most 2",
        )
}
