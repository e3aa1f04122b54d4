package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.traffic.catalogueUpstream
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class CapacityAdmissionTest {
    private val zone = AvailabilityZoneId("east-a")
    private val urgent = route().copy(id = RouteId("playback"), targetLatencyMs = 500, priority = 0, isBulk = true)
    private val patient = route().copy(id = RouteId("enrolment"), targetLatencyMs = 4_000, priority = 2)
    private val admission =
        CapacityAdmission(AdmissionSettings(AdmissionMode.AUTO)).apply { update(desiredState().copy(routes = listOf(urgent, patient))) }

    private fun request(
        route: TrafficRoute,
        deadlineMs: Long = 10_000,
    ): AdmissionRequest {
        val rank = if (route == urgent) 0 else 2
        return assertNotNull(admission.requestOf(0, route, null, catalogueUpstream, rank, deadlineMs))
    }

    private fun decide(
        request: AdmissionRequest,
        waitMs: Double,
        serviceMs: Double = 200.0,
        timeLeftMs: Long = 10_000,
        reserveMs: Double = 0.0,
    ) = admission.decide(request, AdmissionCandidate(zone, waitMs, serviceMs, serviceMs, reserveMs, slots = 8), timeLeftMs)

    private fun demand(
        route: TrafficRoute,
        count: Int,
        isServed: Boolean = true,
    ) = repeat(count) {
        val request = request(route).also { decide(it, waitMs = 0.0) }
        if (isServed) admission.onServed(0, request, 200.0) else admission.onRefused(0, request)
    }

    /** Guards against a patient route that fills the queues, so that no request of an urgent one can be on time. */
    @Test
    fun `a patient request yields to urgent ones only while there are such`() {
        assertEquals(AdmissionDecision.ON_TIME, decide(request(patient), waitMs = 1_500.0))
        demand(urgent, 20)
        demand(patient, 20)
        admission.tick(0)
        assertEquals(AdmissionDecision.YIELDS_TO_URGENT, decide(request(patient), waitMs = 1_500.0))
        assertEquals(AdmissionDecision.ON_TIME, decide(request(urgent), waitMs = 200.0))
        admission.tick(120_000)
        assertEquals(AdmissionDecision.ON_TIME, decide(request(patient), waitMs = 1_500.0))
    }

    /** Guards against a rank that is starved by more urgent ones. */
    @Test
    fun `a rank that got less than a quarter of its demand waits as long as urgent ones`() {
        demand(urgent, 20)
        demand(patient, 20, isServed = false)
        admission.tick(0)
        assertEquals(AdmissionDecision.ON_TIME, decide(request(patient), waitMs = 260.0))
        demand(patient, 20)
        admission.tick(0)
        assertEquals(AdmissionDecision.YIELDS_TO_URGENT, decide(request(patient), waitMs = 260.0))
    }

    /** Guards against late requests that lengthen a queue at the cost of requests that can be on time, and against refusing them for nothing. */
    @Test
    fun `a late request is served if the queue stays short enough for others`() {
        demand(urgent, 20)
        admission.tick(0)
        assertEquals(AdmissionDecision.LATE, decide(request(urgent), waitMs = 0.0, serviceMs = 900.0))
        assertEquals(AdmissionDecision.LATE, decide(request(urgent), waitMs = 100.0, serviceMs = 900.0))
        assertEquals(AdmissionDecision.LATE_DELAYS_OTHERS, decide(request(urgent), waitMs = 250.0, serviceMs = 900.0))
        assertEquals(AdmissionDecision.LATE, decide(request(urgent), waitMs = 10.0, serviceMs = 495.0))
        assertEquals(AdmissionDecision.PAST_DEADLINE, decide(request(urgent), waitMs = 100.0, serviceMs = 900.0, timeLeftMs = 950))
    }

    /** Guards against treating a returning caller as one that can still be on time. */
    @Test
    fun `time since the first attempt counts toward the target`() {
        request(urgent, deadlineMs = 10_000)
        assertEquals(400, request(urgent, deadlineMs = 9_600).elapsedMs)
        assertEquals(AdmissionDecision.LATE, decide(request(urgent, deadlineMs = 9_600), waitMs = 0.0))
        assertEquals(0, request(urgent, deadlineMs = 9_900).elapsedMs)
    }

    /** Guards against a host of a large fleet that takes queues for empty because it rarely hears of each single worker. */
    @Test
    fun `loads of other workers of the zone tell that queues are long`() {
        demand(patient, 1)
        val busy = worker("w2")
        repeat(20) { admission.onLoad(0, busy, running = busy.slots, waiting = busy.slots * 30) }
        admission.tick(0)
        assertEquals(AdmissionDecision.WAIT_TOO_LONG, decide(request(patient), waitMs = 0.0))
        admission.tick(10_000)
        assertEquals(AdmissionDecision.ON_TIME, decide(request(patient), waitMs = 0.0))
    }

    /** Guards against refusing the callers of a region with few workers first, as they reach the workers of other regions later. */
    @Test
    fun `callers of all regions wait equally long`() {
        val waitsMs = (0..400 step 5).map { it.toDouble() }
        val near = waitsMs.last { decide(request(urgent), it, serviceMs = 200.0, reserveMs = 75.0).isServed }
        val far = waitsMs.last { decide(request(urgent), it, serviceMs = 275.0).isServed }
        assertEquals(far, near)
    }

    /** Guards against losing the order of the routes, and against ignoring the priorities of workspaces. */
    @Test
    fun `ranks follow the route, then the workspace`() {
        val desired = desiredState().let { it.copy(routes = listOf(urgent, patient), workspaces = it.workspaces.take(1)) }
        val low = desired.workspaces.first().copy(priority = 5)
        val high = low.copy(priority = 1)
        val ranks = EffectivePriorities(desired.copy(workspaces = listOf(low, low, high)))
        assertEquals(listOf(0, 1, 2, 3), listOf(urgent, patient).flatMap { route -> listOf(high, low).map { ranks.rankOf(route, it) } })
        assertEquals(ranks.rankOf(urgent, low), ranks.rankOf(urgent, null))
        assertEquals(listOf(0, 1), EffectivePriorities(desired).let { same -> listOf(urgent, patient).map { same.rankOf(it, null) } })
    }

    /** Guards against decisions by cost in a deployment whose configuration does not call for them. */
    @Test
    fun `without a bulk route or the setting there is nothing to decide`() {
        val ordinary = desiredState().copy(routes = listOf(patient))
        val modes = AdmissionMode.entries.associateWith { CapacityAdmission(AdmissionSettings(it)).apply { update(ordinary) } }
        val active = modes.filterValues { it.requestOf(0, patient, null, catalogueUpstream, 0, 1_000) != null }.keys
        assertEquals(setOf(AdmissionMode.BY_COST), active)
        val off =
            CapacityAdmission(
                AdmissionSettings(AdmissionMode.BY_TARGET),
            ).apply { update(desiredState().copy(routes = listOf(urgent))) }
        assertNull(off.requestOf(0, urgent, null, catalogueUpstream, 0, 1_000))
    }
}
