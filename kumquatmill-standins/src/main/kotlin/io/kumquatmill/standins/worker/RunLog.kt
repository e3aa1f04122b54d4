package io.kumquatmill.standins.worker

import kotlinx.serialization.Serializable

/** How a request ended at a worker. */
@Serializable
enum class RunEnd {
    /** The request ran to its end. */
    DONE,

    /** The request was refused as not run, for want of a slot or because the worker is leaving. */
    NOT_RUN,

    /** The connection broke before the request was complete; it did not run. */
    INCOMPLETE,

    /** The request was given up while it ran, since its connection was closed. */
    CANCELLED,

    /** The request was given up while it ran, since its deadline passed. */
    TIMED_OUT,

    /** The request is still running. */
    RUNNING,

    ;

    /** Whether the request started to run. */
    val hasRun: Boolean
        get() = this != NOT_RUN && this != INCOMPLETE
}

/** One arrival of a request at a worker; [arrivedAtUs] counts from an arbitrary origin. */
@Serializable
data class Arrival(
    val requestId: String,
    val workspace: String?,
    val idempotencyKey: String?,
    val worker: String,
    val method: String,
    val path: String,
    val arrivedAtUs: Long,
    val end: RunEnd,
)

/** All arrivals of one request id, over all workers of the process; [runs] counts those that started to run. */
@Serializable
data class RequestRuns(
    val requestId: String,
    val arrivals: List<Arrival>,
    val runs: Int,
)

/** Arrivals at the workers of one process, safe for use by several threads. */
class RunLog {
    private val arrivals = ArrayList<Arrival>()

    /** Records an arrival and returns its index for [end]. */
    @Synchronized
    fun arrive(arrival: Arrival): Int {
        arrivals.add(arrival)
        return arrivals.lastIndex
    }

    /** Records how the arrival at [index] ended. */
    @Synchronized
    fun end(
        index: Int,
        end: RunEnd,
    ) {
        arrivals[index] = arrivals[index].copy(end = end)
    }

    /** Returns all arrivals in order. */
    @Synchronized
    fun arrivals(): List<Arrival> = arrivals.toList()

    /** Returns the arrivals by request id, of [workspace] only if it is given. */
    fun runs(workspace: String? = null): List<RequestRuns> =
        arrivals()
            .filter { workspace == null || it.workspace == workspace }
            .groupBy { it.requestId }
            .map { (id, group) -> RequestRuns(id, group, group.count { it.end.hasRun }) }

    /** Returns whether the arrivals of [workspace] stay within rate x window + burst in every window. */
    fun checkWindows(
        workspace: String,
        ratePerS: Double,
        burst: Int,
    ): WindowCheck {
        val times = arrivals().filter { it.workspace == workspace }.map { it.arrivedAtUs }
        return checkWindows(times, ratePerS, burst)
    }

    /** Forgets all arrivals. */
    @Synchronized
    fun clear() {
        arrivals.clear()
    }
}
