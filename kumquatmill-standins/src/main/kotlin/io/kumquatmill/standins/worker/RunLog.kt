package io.kumquatmill.standins.worker

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Status of a request at a worker. */
@Serializable
@SerialName("io.kumquatmill.standins.worker.RunEnd")
enum class RunStatus {
    /** The request ran to completion. */
    DONE,

    /** The request was rejected before it ran: no slot was free, the worker is draining, or the deadline had already passed. */
    NOT_RUN,

    /** The connection failed before the whole request was received; the request did not run. */
    INCOMPLETE,

    /** The request was cancelled while running, because the client closed the connection. */
    CANCELLED,

    /** The request was aborted while running, because its deadline passed. */
    TIMED_OUT,

    /** The request was received and has not ended yet. */
    RUNNING,

    ;

    /** Whether the request counts as started; true also for [RUNNING], before a slot is acquired. */
    val hasStarted: Boolean
        get() = this != NOT_RUN && this != INCOMPLETE
}

/**
 * One arrival of a request at a worker.
 *
 * [arrivedAtUs] is monotonic with an arbitrary origin. [workspace] and [idempotencyKey] are null if their header is absent.
 */
@Serializable
data class Arrival(
    val requestId: String,
    val workspace: String?,
    val idempotencyKey: String?,
    val worker: String,
    val method: String,
    val path: String,
    val arrivedAtUs: Long,
    @SerialName("end") val status: RunStatus,
)

/** All arrivals with one request id at the workers of the process; [runs] is the number of arrivals that started to run. */
@Serializable
data class RequestRuns(
    val requestId: String,
    val arrivals: List<Arrival>,
    val runs: Int,
)

/** Thread-safe log of the request arrivals at the workers of one process. */
class RunLog {
    private val arrivals = ArrayList<Arrival>()

    /** Records [arrival] and returns its index for [updateStatus]. */
    @Synchronized
    fun recordArrival(arrival: Arrival): Int {
        arrivals.add(arrival)
        return arrivals.lastIndex
    }

    /** Sets the status of the arrival at [index]. */
    @Synchronized
    fun updateStatus(
        index: Int,
        status: RunStatus,
    ) {
        arrivals[index] = arrivals[index].copy(status = status)
    }

    /** Returns all arrivals in the order in which they were recorded. */
    @Synchronized
    fun arrivals(): List<Arrival> = arrivals.toList()

    /** Returns the arrivals grouped by request id; null as [workspace] includes all workspaces. */
    fun runsByRequest(workspace: String? = null): List<RequestRuns> =
        arrivals()
            .filter { workspace == null || it.workspace == workspace }
            .groupBy { it.requestId }
            .map { (id, group) -> RequestRuns(id, group, group.count { it.status.hasStarted }) }

    /** Checks that the arrivals of [workspace] do not exceed rate x window + burst in any time window. */
    fun checkWindows(
        workspace: String,
        ratePerS: Double,
        burst: Int,
    ): WindowCheck {
        val times = arrivals().filter { it.workspace == workspace }.map { it.arrivedAtUs }
        return checkWindows(times, ratePerS, burst)
    }

    /** Removes all arrivals. */
    @Synchronized
    fun clear() {
        arrivals.clear()
    }
}
