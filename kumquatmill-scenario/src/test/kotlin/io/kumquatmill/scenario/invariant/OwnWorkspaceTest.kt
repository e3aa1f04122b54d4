package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class OwnWorkspaceTest {
    private val invariant = ownWorkspace(InvariantBounds(withdrawnKeyMs = 8_000))
    private val configuration = keyConfiguration("acme" to setOf("key"), "other" to setOf("other key"))

    @Test
    fun `an attempt on behalf of another workspace is rejected`() =
        invariant.rejects(
            history {
                configurationAccepted(0, configuration)
                sent(10, "r1", key = "key")
                arrived(20, "r1", workspace = "other")
            },
            20L to "r1 ran for other, expected one of [acme]",
        )

    @Test
    fun `an attempt without a key or without a workspace is rejected on a route that is not public`() =
        invariant.rejects(
            history {
                configurationAccepted(0, configuration)
                sent(10, "r1", key = null)
                sent(10, "r2", key = "key")
                arrived(20, "r1", workspace = "acme")
                arrived(30, "r2", workspace = null)
            },
            20L to "r1 ran for acme, expected one of []",
            30L to "r2 ran for null, expected one of [acme]",
        )

    @Test
    fun `a public route needs no key but grants no workspace`() =
        invariant.rejects(
            history {
                configurationAccepted(0, configuration)
                sent(10, "r1", route = "public", key = null)
                sent(10, "r2", route = "public", key = null)
                arrived(20, "r1", workspace = null)
                arrived(30, "r2", workspace = "acme")
            },
            30L to "r2 ran for acme, expected one of []",
        )

    @Test
    fun `a key that moves may serve either workspace up to the time limit and then only the new one`() =
        invariant.rejects(
            history {
                configurationAccepted(0, configuration)
                configurationAccepted(1_000, keyConfiguration("other" to setOf("key")))
                (1..3).forEach { sent(900, "r$it") }
                arrived(1_000, "r1", workspace = "other")
                arrived(9_000, "r2", workspace = "acme")
                arrived(9_001, "r3", workspace = "acme")
            },
            9_001L to "r3 ran for acme, expected one of [other]",
        )

    @Test
    fun `a key does not serve before it is granted`() =
        invariant.rejects(
            history {
                sent(10, "r1")
                arrived(20, "r1")
                configurationAccepted(30, configuration)
            },
            20L to "r1 ran for acme, expected one of []",
        )
}
