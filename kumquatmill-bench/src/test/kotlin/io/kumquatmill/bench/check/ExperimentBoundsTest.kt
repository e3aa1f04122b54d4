package io.kumquatmill.bench.check

import io.kumquatmill.bench.experiment.DeploymentName
import io.kumquatmill.bench.experiment.readExperiments
import io.kumquatmill.bench.measure.runExperiment
import io.kumquatmill.bench.policy.Policies
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ExperimentBoundsTest {
    private val experiments = readExperiments(Path.of("../bench/experiments"))
    private val knownRed = KnownRed()

    private fun assertBounds(deployment: DeploymentName) {
        val violated = experimentBounds(experiments.filter { it.deployment == deployment }).filterNot { it.holds }
        val (known, unknown) = violated.partition { knownRed.lists(it) }
        known.forEach { println("KNOWN-RED: $it") }
        assertEquals(emptyList(), unknown, "violated bounds that are not listed in KNOWN-RED.txt")
    }

    @Test
    fun `the design keeps its bounds in the experiments on Batalik`() = assertBounds(DeploymentName.BATALIK)

    @Test
    fun `the design keeps its bounds in the experiments on Atlas`() = assertBounds(DeploymentName.ATLAS)

    @Test
    fun `the simple policy misses the bounds that the design keeps`() {
        val healthy = experiments.first { it.name == "batalik-healthy" }
        val naive = boundsOf(healthy, runExperiment(healthy, Policies.NAIVE, seed = 1))
        assertTrue(naive.any { !it.holds }, "bounds of the simple policy: $naive, expected at least one violated")
    }
}
