package io.kumquatmill.scenario.script

import io.kumquatmill.scenario.deployment.batalik
import io.kumquatmill.scenario.virtual.defaultNodeFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class ScenarioTest {
    @Test
    fun `a healthy fleet serves every request and violates no invariant`() {
        val result =
            scenario("healthy") {
                deployment = batalik()
                load("clinic", region = "zapad", route = "status", ratePerS = 40.0)
                load("clinic", region = "stred", route = "urgent-order", ratePerS = 5.0)
                load("pharmacy", region = "vychod", route = "standing-order", ratePerS = 10.0)
                lasts(30.seconds)
            }.run(seed = 1, defaultNodeFactory())
        println(result.outcomeCounts())
        println(
            "p50 ${result.calls.latencyMs(
                0.5,
            )} p99 ${result.calls.latencyMs(0.99)} peer ${result.peerMessageCount} store ${result.storeCallCount}",
        )
        println(result.violations.take(10).joinToString("\n"))
        assertEquals(emptyList(), result.violations)
        assertEquals(mapOf("answered" to result.calls.size), result.outcomeCounts())
    }
}
