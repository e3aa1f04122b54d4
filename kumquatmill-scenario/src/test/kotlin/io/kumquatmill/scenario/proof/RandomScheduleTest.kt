package io.kumquatmill.scenario.proof

import io.kumquatmill.scenario.deployment.atlas
import io.kumquatmill.scenario.script.ScenarioBuilder
import io.kumquatmill.scenario.script.ScenarioResult
import io.kumquatmill.scenario.script.randomFaults
import io.kumquatmill.scenario.script.scenario
import io.kumquatmill.scenario.virtual.defaultNodeFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

private const val FAULTS_PER_SCHEDULE = 6

class RandomScheduleTest {
    @Test
    fun `random schedules of all faults violate no invariant on batalik`() {
        assertNoViolations(1L..120L) { mixedLoad() }
    }

    @Test
    fun `random schedules of all faults violate no invariant on atlas`() {
        assertNoViolations(1_001L..1_080L) {
            deployment = atlas()
            atlasLoad()
        }
    }

    private fun assertNoViolations(
        seeds: LongRange,
        build: ScenarioBuilder.() -> Unit,
    ) {
        val violations =
            seeds
                .toList()
                .parallelStream()
                .map { seed -> run(seed, build) }
                .flatMap { result -> result.violations.map { "seed ${result.seed}: $it" }.stream() }
                .toList()
        assertEquals(emptyList(), violations, "violations in seeds $seeds")
    }

    private fun run(
        seed: Long,
        build: ScenarioBuilder.() -> Unit,
    ): ScenarioResult =
        scenario("random faults") {
            build()
            randomFaults(seed, FAULTS_PER_SCHEDULE)
            lasts(55.seconds)
        }.run(seed, defaultNodeFactory())
}
