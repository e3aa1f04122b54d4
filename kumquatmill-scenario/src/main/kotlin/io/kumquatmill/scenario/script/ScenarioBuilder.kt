package io.kumquatmill.scenario.script

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.batalik
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Builds a scenario: a deployment, the load on it, the steps that happen meanwhile, and its duration.
 *
 * ```
 * val result = scenario("a frozen host resumes after its standing expired") {
 *     deployment = batalik()
 *     load("pharmacy", region = "zapad", route = "status", ratePerS = 20.0)
 *     at(10.seconds) { freeze("h1") }
 *     at(20.seconds) { unfreeze("h1") }
 *     lasts(40.seconds)
 * }.run(seed = 7, defaultNodeFactory())
 * ```
 */
fun scenario(
    name: String,
    build: ScenarioBuilder.() -> Unit,
): Scenario = ScenarioBuilder(name).apply(build).toScenario()

/** DSL receiver of [scenario]. */
@KumquatmillDsl
class ScenarioBuilder internal constructor(
    private val name: String,
) {
    /** Deployment on which the scenario runs. */
    var deployment: Deployment = batalik()

    /** Initial configuration; by default, each workspace has its own plan with twice the rate of its load. */
    var configuration: OperatorConfiguration? = null

    /** Time before the load starts, in which the hosts join the fleet. */
    var warmUp: Duration = DEFAULT_WARM_UP

    private val loads = mutableListOf<CallerLoad>()
    private val steps = mutableListOf<ScenarioStep>()
    private var length: Duration = DEFAULT_LENGTH

    /** Adds callers of [workspace], or callers without a key if it is null; they can use only public routes. */
    fun load(
        workspace: String?,
        region: String,
        route: String,
        ratePerS: Double,
        isSteady: Boolean = false,
        bodyBytes: Long = DEFAULT_BODY_BYTES,
    ) {
        loads += CallerLoad(workspace, region, route, ratePerS, isSteady, bodyBytes)
    }

    /** Removes all loads added so far. */
    fun clearLoads() = loads.clear()

    /** Runs [action] at [time] after the load has started. */
    fun at(
        time: Duration,
        action: ScenarioActions.() -> Unit,
    ) {
        steps += ScenarioStep(time.inWholeMilliseconds, action)
    }

    /** Ends the scenario at [time] after the load has started. */
    fun lasts(time: Duration) {
        length = time
    }

    /** Returns the workspaces of all loads added so far. */
    internal fun workspaces(): List<String> = loads.mapNotNull { it.workspace }.distinct()

    internal fun toScenario(): Scenario =
        Scenario(
            name = name,
            deployment = deployment,
            configuration = configuration ?: configurationFor(deployment, loads),
            loads = loads.toList(),
            steps = steps.toList(),
            warmUpMs = warmUp.inWholeMilliseconds,
            lengthMs = length.inWholeMilliseconds,
        )

    private companion object {
        val DEFAULT_WARM_UP = 20.seconds
        val DEFAULT_LENGTH = 30.seconds
        const val DEFAULT_BODY_BYTES = 1_000L
    }
}

/** An action that runs at [atMs] after the load has started. */
class ScenarioStep internal constructor(
    val atMs: Long,
    val action: ScenarioActions.() -> Unit,
)
