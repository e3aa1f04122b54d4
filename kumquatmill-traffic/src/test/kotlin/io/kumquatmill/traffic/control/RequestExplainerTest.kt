package io.kumquatmill.traffic.control

import io.kumquatmill.traffic.admission.AdmissionMode
import io.kumquatmill.traffic.anyFingerprint
import io.kumquatmill.traffic.desiredState
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.leaving.WorkerWord
import io.kumquatmill.traffic.pause.StatedPause
import io.kumquatmill.traffic.route
import io.kumquatmill.traffic.settings
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.trafficController
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workspace
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RequestExplainerTest {
    private val modes = listOf(AdmissionMode.BY_TARGET, AdmissionMode.BY_COST)
    private val lookup = ExplainedRequest(ExplainSimulation.HOST, "/lookup/1?q=2", affinityKey = "k1", workspace = "alpha")

    private fun run(
        seed: Int,
        mode: AdmissionMode,
        beforeRequest: (TrafficController, Long, ExplainSimulation.Input) -> Unit,
    ) = ExplainSimulation(seed, mode, beforeRequest).apply { run(STEPS) }.trace

    /** Guards against an explanation that takes tokens or turns, or changes an estimate, so that it disturbs the requests of callers. */
    @Test
    fun `explaining changes no later decision`() {
        for (mode in modes) {
            repeat(SEEDS) { seed ->
                val random = Random(seed)
                val explained =
                    run(seed, mode) { controller, nowMs, input ->
                        controller.explain(nowMs, input.explained())
                        val path = listOf("/lookup/${random.nextInt(6)}", "/late/1", "/order/1").random(random)
                        val workspace = listOf("alpha", "beta", "gamma", "delta", "none").random(random)
                        controller.explain(nowMs, ExplainedRequest(ExplainSimulation.HOST, path, "GET", "k${random.nextInt(9)}", workspace))
                    }
                assertEquals(run(seed, mode) { _, _, _ -> }, explained, "seed $seed, $mode")
            }
        }
    }

    /** Guards against an explanation by other rules than those of the requests. */
    @Test
    fun `the explanation is what the next request gets`() {
        val kinds = HashSet<String>()
        for (mode in modes) {
            repeat(SEEDS) { seed ->
                val expected = ArrayList<Pair<Int, String>>()
                lateinit var trace: List<String>
                val simulation =
                    ExplainSimulation(seed, mode) { controller, nowMs, input ->
                        // Without an affinity key the request's own id decides, and a shorter deadline is not part of an explanation.
                        if (input.affinityKey != null && input.deadlineMs == ExplainSimulation.DEADLINE_MS) {
                            expected += trace.size to describe(nowMs, controller.explain(nowMs, input.explained()))
                        }
                    }
                trace = simulation.trace
                simulation.run(STEPS)
                expected.forEach { (index, outcome) ->
                    val action = trace.drop(index).first { !it.startsWith("LoanRequest") }
                    assertTrue(action.startsWith(outcome), "explained $outcome, got $action, seed $seed, $mode")
                    kinds +=
                        outcome
                            .substringAfter(' ')
                            .substringBefore(' ')
                            .substringBefore(',')
                            .substringBefore("(afterMs")
                }
            }
        }
        val refusals = listOf("QUARANTINED", "RATE_LIMIT_EXCEEDED", "NO_CAPACITY", "NO_WORKER").map { "Refuse(cause=$it" }
        assertEquals(refusals.toSet() + "send" + "Wait", kinds)
    }

    private fun describe(
        nowMs: Long,
        preview: RequestPreview,
    ): String =
        when (val outcome = preview.outcome) {
            is PreviewedOutcome.Sent -> {
                val usable = preview.workers.filter { it.obstacle == null }.map { it.worker.entry.id }
                assertTrue(outcome.choice.worker.entry.id in usable, "sent to a worker that is said to be unusable")
                "$nowMs send ${outcome.choice.worker.entry.id} "
            }
            is PreviewedOutcome.Queued -> "$nowMs ${RequestAction.Wait(outcome.afterMs)}"
            is PreviewedOutcome.Refused -> "$nowMs Refuse(cause=${outcome.action.cause},"
            null -> "$nowMs unresolved"
        }

    /** Guards against a worker that is left out without the reason, or with that of another one. Each worker is named after its reason. */
    @Test
    fun `each worker that cannot be used has its reason`() {
        val paused = worker("paused")
        val others = listOf(worker("cold", warmUpRemainingMs = 9_000), worker("slots-full", slots = 0), worker("home-region", "west-a"))
        val unused = listOf(worker("draining", isDraining = true), worker("evacuated", "east-b"))
        val desired = desiredState(routes = listOf(route(homeRegions = setOf("east"), maxAttempts = 9)), coldRatePerS = 0.01)
        val controller = TrafficController(host("h1"), settings())
        controller.update(0, steeringState(listOf(worker("usable"), worker("failing"), paused) + others + unused, desired, setOf("east-b")))
        controller.onWorkerWord(0, paused, WorkerWord(isLeaving = false, pause = StatedPause.Named(9_000)))
        val resolved = assertIs<RouteResolution.Resolved>(controller.resolve(lookup.host, "/lookup/1", "key-alpha"))
        repeat(40) { attempt ->
            val (request, action) = controller.begin(0, resolved, "a$attempt", "r$attempt", 2_000, anyFingerprint)
            val isFailing = action is RequestAction.Send && action.worker.entry.id.value == "failing"
            if (isFailing) controller.onResult(0, checkNotNull(request), AttemptResult.Unreachable("refused"))
        }
        val previewed = controller.explain(10, lookup).workers
        assertEquals(8, previewed.size)
        previewed.forEach { assertEquals(it.worker.entry.id.value, it.obstacle?.wireName ?: "usable") }
    }

    /** Guards against an answer for a request that no caller could send, and against a token that is reported and taken. */
    @Test
    fun `an unknown route, a missing workspace and a used up rate limit are said`() {
        assertEquals(RouteResolution.NotReady, TrafficController(host("h1"), settings()).explain(0, lookup).resolution)
        val desired = desiredState(workspaces = listOf(workspace(ratePerS = 300.0, burst = 3.0)))
        val controller = trafficController(listOf(worker("e1")), desired)
        assertEquals(RouteResolution.UnknownRoute, controller.explain(0, lookup.copy(target = "/else")).resolution)
        assertEquals(RouteResolution.UnknownKey, controller.explain(0, lookup.copy(workspace = "beta")).resolution)
        assertNull(controller.explain(0, lookup.copy(workspace = null)).outcome)
        val resolved = assertIs<RouteResolution.Resolved>(controller.resolve(lookup.host, "/lookup/1", "key-alpha"))
        val before = controller.explain(5_000, lookup)
        assertIs<PreviewedOutcome.Sent>(before.outcome)
        assertEquals(before.remainingTokens, controller.explain(5_000, lookup).remainingTokens)
        repeat(900) { controller.begin(5_000, resolved, "k1", "r$it", 2_000, anyFingerprint) }
        val after = controller.explain(5_000, lookup)
        assertTrue(checkNotNull(after.remainingTokens) < 1, "found ${after.remainingTokens} tokens")
        assertEquals(RefusalCause.RATE_LIMIT_EXCEEDED, assertIs<PreviewedOutcome.Refused>(after.outcome).action.cause)
    }

    private companion object {
        const val SEEDS = 20
        const val STEPS = 600
    }
}
