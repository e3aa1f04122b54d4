package io.kumquatmill.traffic.placement

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.WorkerLoad
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class ReportedSpeedTest {
    @Test
    fun `a report loses its weight evenly, and never speeds a worker up`() {
        val speed = ReportedSpeed(ttlMs = 600).apply { onReport(1_000, 300) }
        assertEquals(listOf(3.0, 2.0, 1.0, 1.0), listOf(1_000L, 1_300, 1_600, 9_000).map(speed::factor))
        assertEquals(3.0, speed.factor(900))
        listOf(1, 99, 100).forEach { percent -> assertEquals(1.0, speed.apply { onReport(1_000, percent) }.factor(1_000)) }
        assertEquals(ReportedSpeed.MAX_FACTOR, speed.apply { onReport(1_000, 10_000) }.factor(1_000))
        assertEquals(1.0, ReportedSpeed(ttlMs = 0).apply { onReport(1_000, 300) }.factor(1_000))
        assertEquals(1.0, ReportedSpeed(ttlMs = 600).factor(1_000))
    }

    /** Guards against a slowdown that is reported, and then measured and kept for seconds as well. */
    @Test
    fun `only what a report does not explain is measured`() {
        val speed = ReportedSpeed(ttlMs = 600).apply { onReport(1_000, 250) }
        mapOf(250.0 to 100.0, 150.0 to 100.0, 500.0 to 200.0, 80.0 to 80.0).forEach { (serviceMs, usualMs) ->
            assertEquals(usualMs, speed.usualMs(1_000, serviceMs, expectedMs = 100.0))
        }
        assertEquals(250.0, speed.usualMs(1_600, 250.0, expectedMs = 100.0))
    }

    /** Sends requests one after another and returns their workers; each worker answers after 100 ms and reports [percent]. */
    private fun workersOf(
        reportedSpeedTtlMs: Long = 600,
        affinityKey: String? = null,
        intervalMs: Long = 110,
        percent: (WorkerId, Long) -> Int?,
    ): List<WorkerId> {
        val settings = settings().copy(placement = PlacementSettings(reportedSpeedTtlMs = reportedSpeedTtlMs))
        val routes = listOf(route().copy(hasAffinity = affinityKey != null, targetLatencyMs = 1_000))
        val controller = TrafficController(host("h1"), settings)
        controller.update(0, steeringState((1..3).map { worker("e$it") }, desiredState(routes = routes)))
        val resolved = controller.resolve("shop.example", "/lookup/1", "key-alpha") as RouteResolution.Resolved
        return (1..200).map { number ->
            val nowMs = number * intervalMs
            val (request, action) = controller.begin(nowMs, resolved, affinityKey?.plus(number % 7), "r$number", 2_000, anyFingerprint)
            val worker = (action as RequestAction.Send).worker.entry.id
            val result = AttemptResult.Answered(200, WorkerLoad(0, 0, 4, percent(worker, nowMs)))
            controller.onResult(nowMs + 100, checkNotNull(request), result)
            worker
        }
    }

    private fun isSlow(worker: WorkerId) = worker.value == "e1"

    @Test
    fun `requests without a key avoid a worker that reports to be slow, unless the report is old or ignored`() {
        fun countAtSlow(
            ttlMs: Long = 600,
            intervalMs: Long = 110,
        ) = workersOf(ttlMs, intervalMs = intervalMs) { worker, _ -> if (isSlow(worker)) 250 else 100 }.count(::isSlow)
        val ignored = countAtSlow(ttlMs = 0)
        assertTrue(ignored > 40, "expected about a third at a worker whose reports are ignored, found $ignored of 200")
        assertTrue(countAtSlow() < ignored / 2, "expected less than half of $ignored, found ${countAtSlow()} of 200")
        assertEquals(countAtSlow(ttlMs = 0, intervalMs = 700), countAtSlow(intervalMs = 700), "requests at a worker whose reports are old")
    }

    @Test
    fun `decisions do not change if no worker reports its speed, all are usual or fast, or requests have keys`() {
        listOf(null, "k").forEach { key ->
            val ignored = workersOf(0, key) { _, _ -> null }
            assertEquals(ignored, workersOf(600, key) { _, _ -> null }, "three values, key $key")
            assertEquals(ignored, workersOf(600, key) { worker, _ -> if (isSlow(worker)) 20 else 100 }, "a fast worker, key $key")
        }
        val slow = { worker: WorkerId, _: Long -> if (isSlow(worker)) 250 else 100 }
        assertEquals(workersOf(0, "k") { _, _ -> null }, workersOf(600, "k", percent = slow))
        assertNotEquals(workersOf(0) { _, _ -> null }, workersOf(600, percent = slow))
    }
}
