package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.regionByZone
import io.kumquatmill.traffic.report
import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class WorkerLimitsTest {
    private val changes = ArrayList<WorkerLimitChange>()
    private val fleet = FleetView(host("h1")).apply { updateHosts(0, listOf(host("h1"), host("h2"))) }
    private val limits = WorkerLimits(fleet, WorkerLimitSettings(), regionByZone) { changes += it }
    private val entry = worker("w1")
    private val tag = WorkerTag.of(entry)
    private val limit = limits.of(entry)

    private fun respond(
        nowMs: Long,
        sentAtMs: Long,
        stated: StatedRateLimit = StatedRateLimit.None,
        mayLift: Boolean = true,
    ) = limits.onResponse(nowMs, sentAtMs, entry, stated, mayLift)

    private fun name(
        nowMs: Long,
        perS: Double,
    ) = respond(nowMs, nowMs - 100, StatedRateLimit.Named(perS))

    private fun peerSays(
        nowMs: Long,
        limitPerS: Double?,
        ageMs: Long,
    ) = limits.onReport(nowMs, report(host("h2")).copy(workerLimits = mapOf(tag to WorkerLimitObservation(limitPerS, ageMs))))

    /** Sends as many requests as are allowed at [nowMs], at most a thousand, and returns their number. */
    private fun sendAllAllowed(nowMs: Long): Int =
        (1..1_000)
            .takeWhile {
                limit.allows(nowMs).also { isAllowed -> if (isAllowed) limit.onSent(nowMs) }
            }.size

    @Test
    fun `a response that overtook the first one with a limit does not lift it`() {
        name(nowMs = 1_000, perS = 5.0)
        respond(nowMs = 1_010, sentAtMs = 950)
        assertEquals(5.0, limit.limitPerS)
        respond(nowMs = 1_200, sentAtMs = 1_050)
        assertNull(limit.limitPerS)
    }

    @Test
    fun `a failure, a refusal or an unreadable limit neither sets nor lifts a limit`() {
        respond(nowMs = 500, sentAtMs = 400, StatedRateLimit.Invalid)
        assertNull(limit.limitPerS)
        name(nowMs = 1_000, perS = 5.0)
        respond(nowMs = 1_200, sentAtMs = 1_100, mayLift = false)
        respond(nowMs = 1_300, sentAtMs = 1_200, StatedRateLimit.Invalid)
        assertEquals(5.0, limit.limitPerS)
    }

    @Test
    fun `a peer's word sets a limit, but lets only one request try whether it is lifted`() {
        peerSays(nowMs = 1_000, limitPerS = 0.0, ageMs = 200)
        assertEquals(0, sendAllAllowed(1_000))
        peerSays(nowMs = 2_000, limitPerS = null, ageMs = 100)
        assertEquals(1, sendAllAllowed(2_000))
        respond(nowMs = 2_100, sentAtMs = 2_000)
        assertEquals(1_000, sendAllAllowed(2_100))
    }

    @Test
    fun `older news of a peer changes nothing`() {
        name(nowMs = 1_000, perS = 5.0)
        peerSays(nowMs = 1_500, limitPerS = 50.0, ageMs = 600)
        peerSays(nowMs = 1_500, limitPerS = null, ageMs = 600)
        assertEquals(5.0, limit.limitPerS)
        assertEquals(1, sendAllAllowed(1_500), "half of the limit of 5.0 for half a second")
    }

    @Test
    fun `hosts pass on only what a worker told them, so that news does not grow younger on its way`() {
        peerSays(nowMs = 1_000, limitPerS = 5.0, ageMs = 200)
        assertEquals(emptyMap(), limits.ownObservations(1_100))
        name(nowMs = 1_200, perS = 4.0)
        assertEquals(mapOf(tag to WorkerLimitObservation(4.0, 300)), limits.ownObservations(1_500))
        respond(nowMs = 1_600, sentAtMs = 1_550)
        assertEquals(mapOf(tag to WorkerLimitObservation(null, 450)), limits.ownObservations(2_000))
        assertEquals(emptyMap(), limits.ownObservations(12_000))
    }

    @Test
    fun `a worker that starts again under its id has no limit, and one whose entry returns keeps its own`() {
        name(nowMs = 1_000, perS = 5.0)
        limits.retain(2_000, emptyList())
        assertEquals(5.0, limits.of(entry).limitPerS)
        val restarted = worker("w1", startedAtMs = 2)
        assertNotEquals(tag, WorkerTag.of(restarted))
        assertNull(limits.of(restarted).limitPerS)
        limits.retain(3_000, listOf(restarted))
        limits.retain(70_000, listOf(restarted))
        assertNull(limits.of(entry).limitPerS)
    }

    @Test
    fun `a host tries a worker whose limit nobody has confirmed for long`() {
        val far = worker("w2", zone = "west-a")
        val farLimit = limits.of(far)
        val farReport = report(host("h2")).copy(workerLimits = mapOf(WorkerTag.of(far) to WorkerLimitObservation(5.0, 0)))
        fleet.updateHosts(0, listOf(host("h1"), host("h2"), host("h3", zone = "west-a")))
        limits.onReport(1_000, farReport)
        assertFalse(farLimit.allows(20_000), "a host of another region has no part of the limit")
        assertTrue(farLimit.allows(25_000))
        farLimit.onSent(25_000)
        assertFalse(farLimit.allows(26_000), "one request is tried")
    }

    @Test
    fun `limits of unlisted workers are bounded`() {
        val many = (1..5_000).associate { WorkerTag(it) to WorkerLimitObservation(1.0, 0) }
        limits.onReport(1_000, report(host("h2")).copy(workerLimits = many))
        assertEquals(0, limits.inForceCount)
        assertEquals(WorkerLimitSettings().maxUnlisted, changes.size)
    }

    @Test
    fun `each change is reported once with its source and age`() {
        name(nowMs = 1_000, perS = 5.0)
        name(nowMs = 1_100, perS = 5.0)
        peerSays(nowMs = 2_000, limitPerS = 3.0, ageMs = 150)
        val ownRatePerS = 5.0 / 2
        assertEquals(
            listOf(
                WorkerLimitChange(entry.id, 5.0, null, ownRatePerS, hosts = 2, source = "h1", ageMs = 0),
                WorkerLimitChange(entry.id, 3.0, 5.0, 3.0 / 2, hosts = 2, source = "h2", ageMs = 150),
            ),
            changes,
        )
    }
}
