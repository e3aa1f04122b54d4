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
    fun `a region that is cut off breaks no promise and costs the others nothing`() {
        prove("vychod cut off") {
            at(10.seconds) { cutRegion("vychod") }
            at(40.seconds) { healRegion("vychod") }
            lasts(70.seconds)
        }.keepsAllPromises().refusesNothingWronglyFrom(60_000)
    }

    @Test
    fun `the store's region can be cut off without breaking a promise`() {
        prove("zapad cut off") {
            at(10.seconds) { cutRegion("zapad") }
            at(15.seconds) { withdrawKeys("clinics") }
            at(40.seconds) { healRegion("zapad") }
            lasts(70.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `without the refusal of isolated hosts a withdrawn key goes on`() {
        val serveIsolated = IsolationPolicy.SERVE
        prove(
            "zapad cut off, isolated hosts serve",
            change = { it.copy(membership = it.membership.copy(isolationPolicy = serveIsolated)) },
        ) {
            at(10.seconds) { cutRegion("zapad") }
            at(15.seconds) { withdrawKeys("clinics") }
            lasts(40.seconds)
        }.breaks("withdrawn-keys")
    }

    @Test
    fun `a region that dies moves its traffic under the cap`() {
        prove("vychod dies") {
            at(10.seconds) { killRegion("vychod") }
            lasts(60.seconds)
        }.keepsAllPromises().refusesNothingWronglyFrom(30_000)
    }

    @Test
    fun `without the ramp a region that dies pours its traffic into the others`() {
        val uncapped = ShiftCap(requestsPerS = UNCAPPED_PER_S, intervalMs = 1_000)
        val withoutCap = { settings: NodeSettings -> settings.copy(topology = settings.topology.copy(shiftCap = uncapped)) }
        prove("workers of vychod die, no cap", change = withoutCap) {
            deployment = withSmallCap(batalik())
            at(5.seconds) { rate("clinics", 1.9) }
            at(10.seconds) { killWorkersOf("vychod") }
            lasts(30.seconds)
        }.breaks("shift-cap")
    }

    @Test
    fun `workers of a region that die move their traffic under the cap`() {
        prove("workers of vychod die") {
            deployment = withSmallCap(batalik())
            at(5.seconds) { rate("clinics", 1.9) }
            at(10.seconds) { killWorkersOf("vychod") }
            lasts(40.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `the store's region can die with the store without breaking a promise`() {
        prove("zapad dies") {
            at(10.seconds) { killRegion("zapad") }
            at(10.seconds) { storeDown() }
            lasts(70.seconds)
        }.keepsAllPromises()
    }

    @Test
    fun `the other deployment keeps its promises when a region is cut off and another dies`() {
        val proof =
            prove("fes cut off, marrakech dies") {
                deployment = atlas()
                clearLoads()
                atlasLoad()
                at(10.seconds) { cutRegion("fes") }
                at(20.seconds) { killRegion("marrakech") }
                at(40.seconds) { healRegion("fes") }
                lasts(70.seconds)
            }
        proof.keepsAllPromises()
    }
}
