package io.kumquatmill.bench.experiment

import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.scenario.deployment.Deployment
import io.kumquatmill.scenario.deployment.atlas
import io.kumquatmill.scenario.deployment.batalik
import io.kumquatmill.scenario.script.Scenario
import io.kumquatmill.scenario.script.customerOf
import io.kumquatmill.scenario.script.planOf
import io.kumquatmill.scenario.script.scenario
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.seconds

private val strictJson = Json { ignoreUnknownKeys = false }

/**
 * An experiment as described by its JSON file.
 *
 * @property lengthS time during which callers send requests, in seconds
 * @property seeds seeds of the runs; each policy runs with every seed
 * @property policies names of the policies to compare
 */
@Serializable
data class Experiment(
    val name: String,
    val deployment: DeploymentName,
    val lengthS: Int,
    val seeds: List<Long>,
    val policies: List<String>,
    val plans: List<PlanSpec>,
    val loads: List<LoadSpec>,
    val events: List<EventSpec> = emptyList(),
) {
    /** Returns the scenario that this experiment runs. */
    fun toScenario(): Scenario =
        scenario(name) {
            deployment = this@Experiment.deployment.create()
            configuration = configurationOf(deployment)
            loads.forEach { load(it.workspace, it.region, it.route, it.ratePerS, it.isSteady) }
            events.forEach { event -> at(event.atS.seconds) { event.run(this) } }
            lasts(lengthS.seconds)
        }

    private fun configurationOf(deployment: Deployment) =
        OperatorConfiguration(
            plans = plans.map { planOf(deployment, it.workspace, it.ratePerS, it.burst) },
            customers = plans.map { customerOf(it.workspace) },
        )
}

/** Deployments that an experiment can use. */
@Serializable
enum class DeploymentName(
    val create: () -> Deployment,
) {
    BATALIK(::batalik),
    ATLAS(::atlas),
}

/** Rate and burst of the plan of [workspace]. */
@Serializable
data class PlanSpec(
    val workspace: String,
    val ratePerS: Double,
    val burst: Int,
)

/** Load that the callers of [workspace] in one region put on a route. */
@Serializable
data class LoadSpec(
    val workspace: String,
    val region: String,
    val route: String,
    val ratePerS: Double,
    val isSteady: Boolean = false,
)

/** Reads the experiments from the JSON files in [directory], in order of file name. */
fun readExperiments(directory: Path): List<Experiment> =
    Files.list(directory).use { files ->
        files
            .filter { it.extension == "json" }
            .sorted()
            .map { strictJson.decodeFromString<Experiment>(it.readText()) }
            .toList()
    }
