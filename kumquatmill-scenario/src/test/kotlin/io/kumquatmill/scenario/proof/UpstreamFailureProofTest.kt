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
    fun `workers that leave get no new work and cost no request`() {
        prove("drain") {
            at(10.seconds) { (1..6).forEach { drainWorker("status-$it") } }
            lasts(40.seconds)
        }.keepsAllPromises().refusesNothingWrongly()
    }

    @Test
    fun `workers that die cost few requests and none after ten seconds`() {
        prove("workers die") {
            at(10.seconds) { (1..6).forEach { killWorker("status-$it") } }
            lasts(40.seconds)
        }.keepsAllPromises().recoversFromFailureAt(FAILURE_MS)
    }

    @Test
    fun `a worker that goes silent runs nothing twice and is left out`() {
        prove("silent worker") {
            at(10.seconds) { worker("status-1") { copy(isSilent = true) } }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `a slow worker is ejected and costs no request`() {
        prove("slow worker") {
            at(10.seconds) { worker("status-1") { copy(slownessFactor = 20.0) } }
            lasts(40.seconds)
        }.keepsAllPromises().recoversFromFailureAt(FAILURE_MS)
    }

    @Test
    fun `cut and late answers are never passed on as whole`() {
        prove("cut and late answers") {
            at(10.seconds) { worker("status-1") { copy(cutsAnswers = true) } }
            at(10.seconds) { worker("status-2") { copy(answerDelayMs = 8_000) } }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `workers that report no load get no more than their slots`() {
        prove("misleading reports") {
            (1..10).forEach { index -> at(1.seconds) { worker("status-$index") { copy(reportsIdle = true, slownessFactor = 4.0) } } }
            at(5.seconds) { rate("hospital", 2.0) }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `without the shared slots a busy region is overloaded`() {
        prove(
            "slots overstated",
            change = { settings ->
                val workers = settings.topology.workers.map { it.copy(slots = it.slots * OVERSTATED_FACTOR) }
                settings.copy(topology = settings.topology.copy(workers = workers))
            },
        ) {
            (1..28).forEach { index -> at(1.seconds) { worker("status-$index") { copy(slownessFactor = 20.0) } } }
            lasts(20.seconds)
        }.breaks("worker-slots")
    }

    @Test
    fun `large requests to another region stay within the link`() {
        prove("large bodies") {
            deployment = withSmallLinks(batalik())
            load("hospital", region = "vychod", route = "status", ratePerS = 200.0, bodyBytes = LARGE_BODY_BYTES)
            at(5.seconds) { killWorkersOf("vychod") }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `without the shared budget large requests overrun the link`() {
        prove(
            "large bodies, links overstated",
            change = { settings ->
                val links = settings.topology.links.map { it.copy(megabitsPerS = it.megabitsPerS * OVERSTATED_FACTOR) }
                settings.copy(topology = settings.topology.copy(links = links))
            },
        ) {
            deployment = withSmallLinks(batalik())
            load("hospital", region = "vychod", route = "status", ratePerS = 200.0, bodyBytes = LARGE_BODY_BYTES)
            at(5.seconds) { killWorkersOf("vychod") }
            lasts(40.seconds)
        }.breaks("link-capacity")
    }
}
