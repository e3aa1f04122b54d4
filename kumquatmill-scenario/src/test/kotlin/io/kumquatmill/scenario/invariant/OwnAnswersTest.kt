package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class OwnAnswersTest {
    @Test
    fun `the answer to another request is rejected`() =
        ownAnswers().rejects(
            history {
                answered(10, "r1")
                answered(20, "r2", answeredRequest = "r1")
            },
            20L to "r2 got the answer to r1, expected its own",
        )

    @Test
    fun `a second answer is rejected at its time`() =
        ownAnswers().rejects(
            history {
                answered(10, "r1")
                answered(20, "r1")
            },
            20L to "r1 was answered 2 times, expected once",
        )

    @Test
    fun `an answer after a refusal is a second answer`() =
        ownAnswers().rejects(
            history {
                refused(10, "r1")
                answered(20, "r1")
            },
            20L to "r1 was answered 2 times, expected once",
        )

    @Test
    fun `one own answer or one refusal for each request is accepted`() =
        ownAnswers() accepts
            history {
                answered(10, "r1")
                answered(10, "r2")
                refused(10, "r3")
            }
}
