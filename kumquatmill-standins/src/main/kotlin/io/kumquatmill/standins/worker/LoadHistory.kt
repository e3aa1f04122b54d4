package io.kumquatmill.standins.worker

import kotlinx.serialization.Serializable

/** Load of a worker as reported at `/load`. */
@Serializable
data class WorkerLoad(
    val busySlots: Int,
    val isHealthy: Boolean,
    val isDraining: Boolean,
)

/** Bounded history of a worker's load, used to report past values when lag is injected. */
internal class LoadHistory {
    private val history = ArrayDeque<Sample>()

    /** Records [load] as the current load from [nowMs] on. */
    @Synchronized
    fun record(
        nowMs: Long,
        load: WorkerLoad,
    ) {
        history.addLast(Sample(nowMs, load))
        if (history.size > MAX_SAMPLES) {
            history.removeFirst()
        }
    }

    /** Returns the load to report at [nowMs], with [faults] applied; requires at least one recorded load. */
    @Synchronized
    fun report(
        nowMs: Long,
        faults: LoadFaults,
    ): WorkerLoad {
        val laggedLoad = history.lastOrNull { it.effectiveFromMs + faults.lagMs <= nowMs }?.load ?: history.first().load
        return WorkerLoad(
            busySlots = faults.busySlots ?: laggedLoad.busySlots,
            isHealthy = faults.isHealthy ?: laggedLoad.isHealthy,
            isDraining = faults.isDraining ?: laggedLoad.isDraining,
        )
    }

    private data class Sample(
        val effectiveFromMs: Long,
        val load: WorkerLoad,
    )

    private companion object {
        const val MAX_SAMPLES = 10_000
    }
}
