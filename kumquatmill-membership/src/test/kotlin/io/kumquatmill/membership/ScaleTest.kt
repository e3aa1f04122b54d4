package io.kumquatmill.membership

import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.FleetOptions
import io.kumquatmill.membership.fake.assertStanding
import kotlin.test.Test
import kotlin.test.assertTrue

class ScaleTest {
    private fun fleetOf(size: Int) =
        FakeFleet(seed = 1, size = size, options = FleetOptions(checksInvariants = false, countsTraffic = true))

    private fun FakeFleet.assertStoreLoadWithinLimits(phase: String) {
        println("$phase: ${counts.summary(hosts.size)}")
        assertTrue(
            counts.peakWritesPerS <= MAX_WRITES_PER_S,
            "$phase: expected at most $MAX_WRITES_PER_S, got ${counts.peakWritesPerS} writes/s",
        )
        assertTrue(
            counts.peakReadsPerS <= MAX_READS_PER_S,
            "$phase: expected at most $MAX_READS_PER_S, got ${counts.peakReadsPerS} reads/s",
        )
    }

    private fun FakeFleet.measure(
        phase: String,
        durationMs: Long,
    ) {
        counts.reset()
        run(durationMs)
        assertStoreLoadWithinLimits(phase)
    }

    @Test
    fun `the store load stays within limits up to 450 hosts in steady state, a store outage, its recovery and an eviction`() {
        for (size in listOf(7, 50, 150, 450)) {
            val fleet = fleetOf(size)
            fleet.start()
            fleet.assertStoreLoadWithinLimits("start")
            fleet.measure("steady", STEADY_MS)
            fleet.assertStanding(fleet.hosts)
            fleet.faults.isStoreDown = true
            fleet.measure("outage", OUTAGE_MS)
            fleet.assertStanding(fleet.hosts)
            fleet.faults.isStoreDown = false
            fleet.measure("recovery", RECOVERY_MS)
            fleet.assertStanding(fleet.hosts)
            fleet.hosts.last().kill()
            fleet.measure("eviction", EVICTION_MS)
            fleet.assertStanding(fleet.hosts.dropLast(1))
        }
    }

    private companion object {
        const val MAX_WRITES_PER_S = 700
        const val MAX_READS_PER_S = 2_000
        const val STEADY_MS = 10_000L
        const val OUTAGE_MS = 20_000L
        const val RECOVERY_MS = 20_000L
        const val EVICTION_MS = 20_000L
    }
}
