package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class OwnAnswersTest {
    @Test
    fun `the response to another request is rejected`() =
        ownAnswers().rejects(
            history {
                answered(10, "r1")
                answered(20, "r2", respondedRequest = "r1")
            },
            20L to "r2 got the response to r1, expected its own",
        )

    @Test
    fun `a second response is a violation when it arrives`() =
        ownAnswers().rejects(
            history {
                answered(10, "r1")
                answered(20, "r1")
            },
            20L to "r1 got 2 responses, expected 1",
        )

    @Test
    fun `a response after a refusal is a second response`() =
        ownAnswers().rejects(
            history {
                refused(10, "r1")
                answered(20, "r1")
            },
            20L to "r1 got 2 responses, expected 1",
        )

    @Test
    fun `one own response or one refusal of each request is accepted`() =
        ownAnswers() accepts
            history {
                answered(10, "r1")
                answered(10, "r2")
                refused(10, "r3")
            }
}
