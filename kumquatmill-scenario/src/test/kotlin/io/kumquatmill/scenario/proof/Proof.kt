package io.kumquatmill.scenario.proof

import io.kumquatmill.node.NodeSettings
import io.kumquatmill.scenario.script.Scenario
import io.kumquatmill.scenario.script.ScenarioBuilder
import io.kumquatmill.scenario.script.ScenarioResult
import io.kumquatmill.scenario.script.scenario
import io.kumquatmill.scenario.script.wrongfulRefusals
import io.kumquatmill.scenario.virtual.CallEnd
import io.kumquatmill.scenario.virtual.defaultNodes
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SEED = 3L

/** Time after a failure from which no request inside its rate may be refused. */
private const val RECOVERY_MS = 10_000L

/** Part of the requests inside their rate that one failure may cost. */
private const val ONE_FAILURE_PART = 0.001

/** A run of a scenario under [mixedLoad], for assertions on what callers saw. */
class Proof(
    private val scenario: Scenario,
    val result: ScenarioResult,
) {
    private val wrongful: List<CallEnd> = result.wrongfulRefusals(scenario.lists)

    /** Asserts that no promise was broken. */
    fun keepsAllPromises(): Proof = also { assertEquals(emptyList(), result.violations, "violations in '${scenario.name}'") }

    /** Asserts that no request inside its rate was refused. */
    fun refusesNothingWrongly(): Proof = also { assertEquals(emptyList(), wrongful, "wrongful refusals in '${scenario.name}'") }

    /** Asserts the bounds for one failure at [failureMs]: few refusals at first and none once the fleet has recovered. */
    fun recoversFromFailureAt(failureMs: Long): Proof {
        val allowed = ONE_FAILURE_PART * result.calls.size
        val message = "wrongful refusals in '${scenario.name}': $wrongful"
        assertTrue(wrongful.size <= allowed, "$message, expected at most $allowed of ${result.calls.size}")
        return refusesNothingWronglyFrom(failureMs + RECOVERY_MS)
    }

    /** Asserts that no request inside its rate was refused that was sent at [fromMs] after the load had started, or later. */
    fun refusesNothingWronglyFrom(fromMs: Long): Proof {
        val late = wrongful.filter { it.startedAtMs - result.warmUpMs >= fromMs }
        assertEquals(emptyList(), late, "wrongful refusals from $fromMs ms on in '${scenario.name}'")
        return this
    }

    /** Asserts that the promise [invariant] was broken, as it has to be without its mechanism. */
    fun breaks(invariant: String): Proof {
        val broken = result.violations.map { it.invariant }.toSet()
        assertTrue(invariant in broken, "broken promises in '${scenario.name}': $broken, expected $invariant among them")
        return this
    }
}

/** Runs a scenario under [mixedLoad] that [build] adds failures to, with settings as [change] makes them. */
fun prove(
    name: String,
    seed: Long = SEED,
    change: (NodeSettings) -> NodeSettings = { it },
    build: ScenarioBuilder.() -> Unit,
): Proof {
    val scenario =
        scenario(name) {
            mixedLoad()
            build()
        }
    return Proof(scenario, scenario.run(seed, defaultNodes(change)))
}
