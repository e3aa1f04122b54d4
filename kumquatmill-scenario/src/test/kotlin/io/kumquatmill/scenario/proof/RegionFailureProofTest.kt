package io.kumquatmill.scenario.proof

import io.kumquatmill.membership.IsolationPolicy
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.atlas
import io.kumquatmill.scenario.deployment.batalik
import kotlin.test.Test
import kotlin.time.Duration.Companion.seconds

private const val UNCAPPED_PER_S = 100_000.0
private const val SMALL_CAP_PER_S = 6.0

class RegionFailureProofTest {
    private fun withSmallCap(deployment: Deployment): Deployment =
        deployment.copy(topology = deployment.topology.copy(shiftCap = ShiftCap(requestsPerS = SMALL_CAP_PER_S, intervalMs = 1_000)))

    @Test
    fun `a partitioned region violates no invariant and causes no wrongful refusal from 20 s after it is reconnected`() {
        runScenario("vychod partitioned") {
            at(10.seconds) { partitionRegion("vychod") }
            at(40.seconds) { healRegion("vychod") }
            lasts(70.seconds)
        }.assertNoViolations().assertNoWrongfulRefusalsFrom(60_000)
    }

    @Test
    fun `a partition of the store's region violates no invariant`() {
        runScenario("zapad partitioned") {
            at(10.seconds) { partitionRegion("zapad") }
            at(15.seconds) { withdrawKeys("clinics") }
            at(40.seconds) { healRegion("zapad") }
            lasts(70.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `without the refusal by isolated hosts a withdrawn key is still served`() {
        val serveIsolated = IsolationPolicy.SERVE
        runScenario(
            "zapad partitioned, isolated hosts serve",
            changeSettings = { it.copy(membership = it.membership.copy(isolationPolicy = serveIsolated)) },
        ) {
            at(10.seconds) { partitionRegion("zapad") }
            at(15.seconds) { withdrawKeys("clinics") }
            lasts(40.seconds)
        }.assertViolates("withdrawn-keys")
    }

    @Test
    fun `traffic of a killed region shifts within the cap`() {
        runScenario("vychod killed") {
            at(10.seconds) { killRegion("vychod") }
            lasts(60.seconds)
        }.assertNoViolations().assertNoWrongfulRefusalsFrom(30_000)
    }

    @Test
    fun `without the cap traffic of a region with killed workers shifts at once`() {
        val uncapped = ShiftCap(requestsPerS = UNCAPPED_PER_S, intervalMs = 1_000)
        val withoutCap = { settings: NodeSettings -> settings.copy(topology = settings.topology.copy(shiftCap = uncapped)) }
        runScenario("workers of vychod killed, no cap", changeSettings = withoutCap) {
            deployment = withSmallCap(batalik())
            at(5.seconds) { scaleLoad("clinics", 1.9) }
            at(10.seconds) { killWorkersIn("vychod") }
            lasts(30.seconds)
        }.assertViolates("shift-cap")
    }

    @Test
    fun `traffic of a region with killed workers shifts within the cap`() {
        runScenario("workers of vychod killed") {
            deployment = withSmallCap(batalik())
            at(5.seconds) { scaleLoad("clinics", 1.9) }
            at(10.seconds) { killWorkersIn("vychod") }
            lasts(40.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `killing the store's region and the store violates no invariant`() {
        runScenario("zapad killed") {
            at(10.seconds) { killRegion("zapad") }
            at(10.seconds) { storeDown() }
            lasts(70.seconds)
        }.assertNoViolations()
    }

    @Test
    fun `a partitioned region and a killed one violate no invariant on atlas`() {
        val run =
            runScenario("fes partitioned, marrakech killed") {
                deployment = atlas()
                clearLoads()
                atlasLoad()
                at(10.seconds) { partitionRegion("fes") }
                at(20.seconds) { killRegion("marrakech") }
                at(40.seconds) { healRegion("fes") }
                lasts(70.seconds)
            }
        run.assertNoViolations()
    }
}
