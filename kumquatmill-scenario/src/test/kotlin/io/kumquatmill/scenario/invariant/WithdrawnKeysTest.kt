package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class WithdrawnKeysTest {
    private val invariant = withdrawnKeys(InvariantBounds(withdrawnKeyMs = 8_000))
    private val granted = keyConfiguration("acme" to setOf("key"))
    private val withdrawn = keyConfiguration("acme" to emptySet())

    private fun HistoryBuilder.served(
        atMs: Long,
        request: String,
    ) {
        sent(atMs - 5, request)
        arrived(atMs, request)
    }

    @Test
    fun `a withdrawn key that serves after the time limit is rejected`() =
        invariant.rejects(
            history {
                configurationAccepted(0, granted)
                configurationAccepted(1_000, withdrawn)
                served(9_001, "r1")
            },
            9_001L to "the key of r1 served 8001 ms after its withdrawal, expected at most 8000 ms",
        )

    @Test
    fun `a key may serve before its withdrawal and up to the time limit`() =
        invariant accepts
            history {
                configurationAccepted(0, granted)
                served(500, "r1")
                configurationAccepted(1_000, withdrawn)
                served(9_000, "r2")
            }

    @Test
    fun `a key that is granted again may serve from then on`() =
        invariant accepts
            history {
                configurationAccepted(0, granted)
                configurationAccepted(1_000, withdrawn)
                configurationAccepted(20_000, granted)
                served(20_000, "r1")
                served(40_000, "r2")
            }

    @Test
    fun `granting a key again does not excuse what it served before`() =
        invariant.rejects(
            history {
                configurationAccepted(0, granted)
                configurationAccepted(1_000, withdrawn)
                served(15_000, "r1")
                configurationAccepted(20_000, granted)
            },
            15_000L to "the key of r1 served 14000 ms after its withdrawal, expected at most 8000 ms",
        )

    @Test
    fun `the time limit of a second withdrawal starts at that withdrawal`() =
        invariant.rejects(
            history {
                configurationAccepted(0, granted)
                configurationAccepted(1_000, withdrawn)
                configurationAccepted(3_000, granted)
                configurationAccepted(5_000, withdrawn)
                served(13_000, "r1")
                served(13_001, "r2")
            },
            13_001L to "the key of r2 served 8001 ms after its withdrawal, expected at most 8000 ms",
        )

    @Test
    fun `another key and an attempt without a workspace are not affected`() =
        invariant accepts
            history {
                configurationAccepted(0, keyConfiguration("acme" to setOf("key", "other")))
                configurationAccepted(1_000, keyConfiguration("acme" to setOf("other")))
                sent(20_000, "r1", key = "other")
                arrived(20_005, "r1")
                sent(20_000, "r2", route = "public")
                arrived(20_005, "r2", workspace = null)
            }
}
