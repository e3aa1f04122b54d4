package io.kumquatmill.bench.experiment

import io.kumquatmill.scenario.script.ScenarioActions
import kotlinx.serialization.Serializable

/**
 * An event of an experiment.
 *
 * @property atS time since the start of the load, in seconds
 * @property target name of a host, worker, region or workspace, depending on [action]
 * @property factor factor on the service time of a worker or on the request rate of a workspace
 */
@Serializable
data class EventSpec(
    val atS: Int,
    val action: EventAction,
    val target: String = "",
    val factor: Double = 1.0,
) {
    internal fun run(actions: ScenarioActions) = action.run(actions, this)
}

/** Failures and load changes that an experiment can contain. */
@Serializable
enum class EventAction(
    internal val run: ScenarioActions.(EventSpec) -> Unit,
) {
    KILL_HOST({ kill(it.target) }),
    START_HOST({ start(it.target) }),
    STOP_HOST({ stop(it.target) }),
    KILL_WORKER({ killWorker(it.target) }),
    DRAIN_WORKER({ drainWorker(it.target) }),
    SLOW_WORKER({ event -> worker(event.target) { copy(slownessFactor = event.factor) } }),
    IDLE_REPORTS({ event -> worker(event.target) { copy(reportsIdle = true) } }),
    KILL_REGION({ killRegion(it.target) }),
    CUT_REGION({ partitionRegion(it.target) }),
    HEAL_REGION({ healRegion(it.target) }),
    STORE_DOWN({ storeDown() }),
    STORE_UP({ storeUp() }),
    SCALE_LOAD({ scaleLoad(it.target, it.factor) }),
}
