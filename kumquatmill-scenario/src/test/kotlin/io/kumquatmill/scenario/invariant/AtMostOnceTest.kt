package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class AtMostOnceTest {
    @Test
    fun `a second run on another worker is a violation when it starts`() =
        atMostOnce().rejects(
            history {
                sent(0, "r1", route = "write")
                started(10, "r1", "w1")
                started(30, "r1", "w2")
            },
            30L to "r1 ran 2 times, on [w1, w2], expected at most once",
        )

    @Test
    fun `a second run on the same worker after the end of the first one is rejected`() =
        atMostOnce().rejects(
            history {
                sent(0, "r1", route = "write")
                started(10, "r1")
                ended(20, "r1")
                started(21, "r1")
            },
            21L to "r1 ran 2 times, on [w1, w1], expected at most once",
        )

    @Test
    fun `one run of each request and attempts that did not run are accepted`() =
        atMostOnce() accepts
            history {
                sent(0, "r1", route = "write")
                sent(0, "r2", route = "write")
                arrived(5, "r1", "w2")
                started(10, "r1")
                started(10, "r2")
            }

    @Test
    fun `a request on an idempotent route may run twice`() =
        atMostOnce() accepts
            history {
                sent(0, "r1", route = "read")
                started(10, "r1", "w1")
                started(30, "r1", "w2")
            }
}
