package io.kumquatmill.scenario.proof

import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.batalik
import kotlin.test.Test
import kotlin.time.Duration.Companion.seconds

private const val FAILURE_MS = 10_000L
private const val LARGE_BODY_BYTES = 100_000L
private const val SMALL_LINK_MEGABITS_PER_S = 20.0
private const val OVERSTATED_FACTOR = 20

class UpstreamFailureProofTest {
    private fun withSmallLinks(deployment: Deployment): Deployment {
        val links = deployment.topology.links.map { it.copy(megabitsPerS = SMALL_LINK_MEGABITS_PER_S) }
        return deployment.copy(topology = deployment.topology.copy(links = links))
    }

    @Test
    fun `draining workers get no new requests and cause no wrongful refusal`() {
        runScenario("drain") {
            at(10.seconds) { (1..6).forEach { drainWorker("status-$it") } }
            lasts(40.seconds)
        }.assertNoViolations().assertNoWrongfulRefusals()
    }

    @Test
    fun `killed workers cause few wrongful refusals and none after ten seconds`() {
        runScenario("workers killed") {
            at(10.seconds) { (1..6).forEach { killWorker("status-$it") } }
            lasts(40.seconds)
        }.assertNoViolations().assertRecoveryFromFailureAt(FAILURE_MS)
    }

    @Test
    fun `a silent worker is avoided and runs nothing twice`() {
        runScenario("silent worker") {
            at(10.seconds) { worker("status-1") { copy(isSilent = true) } }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `a slow worker is ejected and causes few wrongful refusals and none after ten seconds`() {
        runScenario("slow worker") {
            at(10.seconds) { worker("status-1") { copy(slownessFactor = 20.0) } }
            lasts(40.seconds)
        }.assertNoViolations().assertRecoveryFromFailureAt(FAILURE_MS)
    }

    @Test
    fun `truncated and late responses are never relayed as complete`() {
        runScenario("truncated and late responses") {
            at(10.seconds) { worker("status-1") { copy(truncatesResponses = true) } }
            at(10.seconds) { worker("status-2") { copy(responseDelayMs = 8_000) } }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `workers that report no load get no more requests than slots`() {
        runScenario("misleading reports") {
            (1..10).forEach { index -> at(1.seconds) { worker("status-$index") { copy(reportsIdle = true, slownessFactor = 4.0) } } }
            at(5.seconds) { scaleLoad("hospital", 2.0) }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `without the shared slot limit busy workers are overloaded`() {
        runScenario(
            "slots overstated",
            changeSettings = { settings ->
                val workers = settings.topology.workers.map { it.copy(slots = it.slots * OVERSTATED_FACTOR) }
                settings.copy(topology = settings.topology.copy(workers = workers))
            },
        ) {
            (1..28).forEach { index -> at(1.seconds) { worker("status-$index") { copy(slownessFactor = 20.0) } } }
            lasts(20.seconds)
        }.assertViolates("worker-slots")
    }

    @Test
    fun `large requests to another region stay within the link capacity`() {
        runScenario("large bodies") {
            deployment = withSmallLinks(batalik())
            load("hospital", region = "vychod", route = "status", ratePerS = 200.0, bodyBytes = LARGE_BODY_BYTES)
            at(5.seconds) { killWorkersIn("vychod") }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `without the shared link limit large requests exceed the link capacity`() {
        runScenario(
            "large bodies, links overstated",
            changeSettings = { settings ->
                val links = settings.topology.links.map { it.copy(megabitsPerS = it.megabitsPerS * OVERSTATED_FACTOR) }
                settings.copy(topology = settings.topology.copy(links = links))
            },
        ) {
            deployment = withSmallLinks(batalik())
            load("hospital", region = "vychod", route = "status", ratePerS = 200.0, bodyBytes = LARGE_BODY_BYTES)
            at(5.seconds) { killWorkersIn("vychod") }
            lasts(40.seconds)
        }.assertViolates("link-capacity")
    }
}
