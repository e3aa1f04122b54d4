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

/** An experiment as its file describes it: a deployment, plans, load, failures and seeds. */
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
    /** Returns the script that scenarios run. */
    fun toScenario(): Scenario =
        scenario(name) {
            deployment = this@Experiment.deployment.create()
            configuration = listsOf(deployment)
            loads.forEach { load(it.workspace, it.region, it.route, it.ratePerS, it.isSteady) }
            events.forEach { event -> at(event.atS.seconds) { event.run(this) } }
            lasts(lengthS.seconds)
        }

    private fun listsOf(deployment: Deployment) =
        OperatorConfiguration(
            plans = plans.map { planOf(deployment, it.workspace, it.ratePerS, it.burst) },
            customers = plans.map { customerOf(it.workspace) },
        )
}

/** Deployment that an experiment runs on. */
@Serializable
enum class DeploymentName(
    val create: () -> Deployment,
) {
    BATALIK(::batalik),
    ATLAS(::atlas),
}

/** Rate and burst that [workspace] may use. */
@Serializable
data class PlanSpec(
    val workspace: String,
    val ratePerS: Double,
    val burst: Int,
)

/** Callers of [workspace] in one region. */
@Serializable
data class LoadSpec(
    val workspace: String,
    val region: String,
    val route: String,
    val ratePerS: Double,
    val isSteady: Boolean = false,
)

/** Reads the experiments in the JSON files of [directory], in the order of their names. */
fun readExperiments(directory: Path): List<Experiment> =
    Files.list(directory).use { files ->
        files
            .filter { it.extension == "json" }
            .sorted()
            .map { strictJson.decodeFromString<Experiment>(it.readText()) }
            .toList()
    }
