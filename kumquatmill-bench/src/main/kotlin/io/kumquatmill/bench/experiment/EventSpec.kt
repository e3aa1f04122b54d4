package io.kumquatmill.bench.experiment

import io.kumquatmill.scenario.script.ScenarioActions
import kotlinx.serialization.Serializable

/** Something that happens [atS] seconds after the load has started; [target] is a host, worker, region or workspace. */
@Serializable
data class EventSpec(
    val atS: Int,
    val action: EventAction,
    val target: String = "",
    val factor: Double = 1.0,
) {
    internal fun run(actions: ScenarioActions) = action.run(actions, this)
}

/** What can happen in an experiment. */
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
