package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.SharedLoad
import io.kumquatmill.traffic.fleet.WorkerTag
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Encoded loads of workers in a report: three lists of whole numbers of the same length.
 *
 * @property tags tags of the workers
 * @property requests requests at each worker
 * @property ages age of each load in units of 4 ms, in which ages of up to a second take two bytes
 */
@Serializable
internal class LoadColumns(
    @SerialName("t") private val tags: List<Int> = emptyList(),
    @SerialName("q") private val requests: List<Int> = emptyList(),
    @SerialName("a") private val ages: List<Int> = emptyList(),
) {
    init {
        requireSameLength(tags, requests, ages)
    }

    /** Throws [IllegalArgumentException] if a number is negative. */
    fun toLoads(): Map<WorkerTag, SharedLoad> = valuesByTag(tags) { SharedLoad(requests[it], ages[it].toLong() * AGE_UNIT_MS) }

    companion object {
        fun of(loads: Map<WorkerTag, SharedLoad>) =
            LoadColumns(
                tags = loads.tagColumn(),
                requests = loads.values.map { it.requests },
                ages = loads.values.map { (it.ageMs / AGE_UNIT_MS).toColumnNumber() },
            )

        private const val AGE_UNIT_MS = 4L
    }
}
