package io.kumquatmill.scenario.invariant

import kotlin.test.Test

class WithdrawnKeysTest {
    private val invariant = withdrawnKeys(InvariantBounds(withdrawnKeyMs = 8_000))
    private val granted = keyLists("acme" to setOf("key"))
    private val withdrawn = keyLists("acme" to emptySet())

    private fun HistoryBuilder.served(
        atMs: Long,
        request: String,
    ) {
        sent(atMs - 5, request)
        arrived(atMs, request)
    }

    @Test
    fun `a key that serves after the bound is rejected`() =
        invariant.rejects(
            history {
                accepted(0, granted)
                accepted(1_000, withdrawn)
                served(9_001, "r1")
            },
            9_001L to "the key of r1 served 8001 ms after its withdrawal, expected at most 8000 ms",
        )

    @Test
    fun `a key serves before its withdrawal and up to the bound`() =
        invariant accepts
            history {
                accepted(0, granted)
                served(500, "r1")
                accepted(1_000, withdrawn)
                served(9_000, "r2")
            }

    @Test
    fun `a key that is granted again serves from then on`() =
        invariant accepts
            history {
                accepted(0, granted)
                accepted(1_000, withdrawn)
                accepted(20_000, granted)
                served(20_000, "r1")
                served(40_000, "r2")
            }

    @Test
    fun `a key that is granted again does not excuse what it served before`() =
        invariant.rejects(
            history {
                accepted(0, granted)
                accepted(1_000, withdrawn)
                served(15_000, "r1")
                accepted(20_000, granted)
            },
            15_000L to "the key of r1 served 14000 ms after its withdrawal, expected at most 8000 ms",
        )

    @Test
    fun `a second withdrawal counts from its own time`() =
        invariant.rejects(
            history {
                accepted(0, granted)
                accepted(1_000, withdrawn)
                accepted(3_000, granted)
                accepted(5_000, withdrawn)
                served(13_000, "r1")
                served(13_001, "r2")
            },
            13_001L to "the key of r2 served 8001 ms after its withdrawal, expected at most 8000 ms",
        )

    @Test
    fun `another key and an attempt without a workspace are not affected`() =
        invariant accepts
            history {
                accepted(0, keyLists("acme" to setOf("key", "other")))
                accepted(1_000, keyLists("acme" to setOf("other")))
                sent(20_000, "r1", key = "other")
                arrived(20_005, "r1")
                sent(20_000, "r2", route = "open")
                arrived(20_005, "r2", workspace = null)
            }
}
