package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class ConfigurationInForceTest {
    private val invariant = configurationInForce(InvariantBounds(inForceMs = 8_000))

    @Test
    fun `a host that serves an old revision at the bound is rejected`() =
        invariant.rejects(
            history {
                accepted(0)
                accepted(1_000)
                inForce(9_000, revision = 1)
            },
            9_000L to "h1 serves revision 1, expected at least 2",
        )

    @Test
    fun `a host may serve the old revision until the bound and the new one at it`() =
        invariant accepts
            history {
                accepted(0)
                accepted(1_000)
                inForce(8_999, revision = 1)
                inForce(9_000, revision = 2)
            }

    @Test
    fun `only revisions older than the bound are due`() =
        invariant accepts
            history {
                accepted(0)
                accepted(1_000)
                accepted(5_000)
                inForce(10_000, revision = 2)
            }

    @Test
    fun `a host that goes back is rejected, also within the bound`() =
        invariant.rejects(
            history {
                accepted(0)
                accepted(1_000)
                inForce(1_500, revision = 2)
                inForce(2_000, revision = 1)
            },
            2_000L to "h1 serves revision 1 after 2, expected no return",
        )

    @Test
    fun `hosts may differ while an edit spreads`() =
        invariant accepts
            history {
                accepted(0)
                accepted(1_000)
                inForce(1_500, revision = 2, host = "h1")
                inForce(2_000, revision = 1, host = "h2")
            }

    @Test
    fun `a host that started again may start lower`() =
        invariant accepts
            history {
                accepted(0)
                accepted(1_000)
                inForce(1_500, revision = 2)
                hostStarted(2_000)
                inForce(2_500, revision = 1)
            }

    @Test
    fun `a host that started again has to serve what is due`() =
        invariant.rejects(
            history {
                accepted(0)
                accepted(1_000)
                inForce(1_500, revision = 2)
                hostStarted(20_000)
                inForce(20_500, revision = 1)
            },
            20_500L to "h1 serves revision 1, expected at least 2",
        )
}
