package io.kumquatmill.standins.worker

import kotlinx.serialization.Serializable

/** What a worker says of its own load at `/load`. */
@Serializable
data class WorkerLoad(
    val busySlots: Int,
    val isHealthy: Boolean,
    val isDraining: Boolean,
)

/** History of a worker's load, so that reports can lag. */
internal class LoadReports {
    private val history = ArrayDeque<Sample>()

    /** Records that the load is [load] from [nowMs] on. */
    @Synchronized
    fun record(
        nowMs: Long,
        load: WorkerLoad,
    ) {
        history.addLast(Sample(nowMs, load))
        if (history.size > CAPACITY) {
            history.removeFirst()
        }
    }

    /** Returns the load that is reported at [nowMs] under [faults]. */
    @Synchronized
    fun report(
        nowMs: Long,
        faults: LoadFaults,
    ): WorkerLoad {
        val lagged = history.lastOrNull { it.sinceMs + faults.lagMs <= nowMs }?.load ?: history.first().load
        return WorkerLoad(
            busySlots = faults.busySlots ?: lagged.busySlots,
            isHealthy = faults.isHealthy ?: lagged.isHealthy,
            isDraining = faults.isDraining ?: lagged.isDraining,
        )
    }

    private data class Sample(
        val sinceMs: Long,
        val load: WorkerLoad,
    )

    private companion object {
        const val CAPACITY = 10_000
    }
}
