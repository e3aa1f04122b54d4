package io.kumquatmill.gateway

import kotlin.test.Test
import kotlin.test.assertEquals

class RevisionLagTest {
    private val lag = RevisionLag { 400 }

    @Test
    fun `a host that follows many changes closely never lags although some peer is always ahead`() {
        val lagging = (0L..10_000L step 500).filter { nowMs -> lag.isLagging(nowMs, ownRevision = nowMs, newestRevision = nowMs + 100) }
        assertEquals(emptyList(), lagging)
    }

    @Test
    fun `a host that receives no changes lags once it has lacked one for long enough`() {
        val lagging = (0L..2_000L step 200).filter { nowMs -> lag.isLagging(nowMs, ownRevision = 5, newestRevision = nowMs / 10 + 6) }
        assertEquals((400L..2_000L step 200).toList(), lagging)
    }

    @Test
    fun `a host that is ahead of its peers does not lag`() {
        assertEquals(false, lag.isLagging(0, ownRevision = 9, newestRevision = 8))
        assertEquals(false, lag.isLagging(10_000, ownRevision = 9, newestRevision = 8))
    }
}
