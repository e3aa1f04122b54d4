package io.kumquatmill.scenario.proof

import io.kumquatmill.node.NodeSettings
import io.kumquatmill.scenario.script.Scenario
import io.kumquatmill.scenario.script.ScenarioBuilder
import io.kumquatmill.scenario.script.ScenarioResult
import io.kumquatmill.scenario.script.scenario
import io.kumquatmill.scenario.script.wrongfulRefusals
import io.kumquatmill.scenario.virtual.CompletedCall
import io.kumquatmill.scenario.virtual.defaultNodeFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SEED = 3L

/** Time after a failure from which no request within its rate may be refused. */
private const val RECOVERY_MS = 10_000L

/** Maximum fraction of all calls that may be refused wrongfully because of one failure. */
private const val MAX_WRONGFUL_FRACTION = 0.001

/** Assertions on the [result] of one run of a scenario. */
class ScenarioAssertions(
    private val scenario: Scenario,
    val result: ScenarioResult,
) {
    private val wrongful: List<CompletedCall> = result.wrongfulRefusals(scenario.configuration)

    /** Asserts that no invariant was violated. */
    fun assertNoViolations(): ScenarioAssertions = also { assertEquals(emptyList(), result.violations, "violations in '${scenario.name}'") }

    /** Asserts that no request within its rate was refused. */
    fun assertNoWrongfulRefusals(): ScenarioAssertions =
        also { assertEquals(emptyList(), wrongful, "wrongful refusals in '${scenario.name}'") }

    /** Asserts the bounds for one failure at [failureMs]: few wrongful refusals at first and none after [RECOVERY_MS]. */
    fun assertRecoveryFromFailureAt(failureMs: Long): ScenarioAssertions {
        val allowed = MAX_WRONGFUL_FRACTION * result.calls.size
        val message = "wrongful refusals in '${scenario.name}': $wrongful"
        assertTrue(wrongful.size <= allowed, "$message, expected at most $allowed of ${result.calls.size}")
        return assertNoWrongfulRefusalsFrom(failureMs + RECOVERY_MS)
    }

    /** Asserts that no request within its rate was refused among those sent at [fromMs] after the start of the load or later. */
    fun assertNoWrongfulRefusalsFrom(fromMs: Long): ScenarioAssertions {
        val late = wrongful.filter { it.startedAtMs - result.warmUpMs >= fromMs }
        assertEquals(emptyList(), late, "wrongful refusals from $fromMs ms on in '${scenario.name}'")
        return this
    }

    /** Asserts that [invariant] was violated, to prove that the check notices when the mechanism behind it is disabled. */
    fun assertViolates(invariant: String): ScenarioAssertions {
        val violated = result.violations.map { it.invariant }.toSet()
        assertTrue(invariant in violated, "violated invariants in '${scenario.name}': $violated, expected $invariant among them")
        return this
    }
}

/** Runs a scenario under [mixedLoad] with the failures that [build] adds and the settings that [changeSettings] returns. */
fun runScenario(
    name: String,
    seed: Long = SEED,
    changeSettings: (NodeSettings) -> NodeSettings = { it },
    build: ScenarioBuilder.() -> Unit,
): ScenarioAssertions {
    val scenario =
        scenario(name) {
            mixedLoad()
            build()
        }
    return ScenarioAssertions(scenario, scenario.run(seed, defaultNodeFactory(changeSettings)))
}
