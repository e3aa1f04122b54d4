package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class ConfigurationInForceTest {
    private val invariant = configurationInForce(InvariantBounds(inForceMs = 8_000))

    @Test
    fun `a host that serves an old revision at the time limit is rejected`() =
        invariant.rejects(
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                inForce(9_000, revision = 1)
            },
            9_000L to "h1 serves revision 1, expected at least 2",
        )

    @Test
    fun `a host may serve the old revision until just before the time limit`() =
        invariant accepts
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                inForce(8_999, revision = 1)
                inForce(9_000, revision = 2)
            }

    @Test
    fun `only revisions accepted at least the time limit ago are required`() =
        invariant accepts
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                configurationAccepted(5_000)
                inForce(10_000, revision = 2)
            }

    @Test
    fun `a host that returns to an older revision is rejected, also within the time limit`() =
        invariant.rejects(
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                inForce(1_500, revision = 2)
                inForce(2_000, revision = 1)
            },
            2_000L to "h1 serves revision 1 after 2, expected no older revision",
        )

    @Test
    fun `hosts may serve different revisions while an edit propagates`() =
        invariant accepts
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                inForce(1_500, revision = 2, host = "h1")
                inForce(2_000, revision = 1, host = "h2")
            }

    @Test
    fun `a restarted host may start with an older revision`() =
        invariant accepts
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                inForce(1_500, revision = 2)
                hostStarted(2_000)
                inForce(2_500, revision = 1)
            }

    @Test
    fun `a restarted host must serve the required revision`() =
        invariant.rejects(
            history {
                configurationAccepted(0)
                configurationAccepted(1_000)
                inForce(1_500, revision = 2)
                hostStarted(20_000)
                inForce(20_500, revision = 1)
            },
            20_500L to "h1 serves revision 1, expected at least 2",
        )
}
