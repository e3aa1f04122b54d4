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
        require(requests.size == tags.size && ages.size == tags.size) {
            "expected as many loads and ages as tags, found ${requests.size}, ${ages.size} and ${tags.size}"
        }
    }

    /** Throws [IllegalArgumentException] if a number is negative. */
    fun toLoads(): Map<WorkerTag, SharedLoad> =
        tags.indices.associate { WorkerTag(tags[it]) to SharedLoad(requests[it], ages[it].toLong() * AGE_UNIT_MS) }

    companion object {
        fun of(loads: Map<WorkerTag, SharedLoad>) =
            LoadColumns(
                tags = loads.keys.map { it.value },
                requests = loads.values.map { it.requests },
                ages = loads.values.map { (it.ageMs / AGE_UNIT_MS).coerceAtMost(Int.MAX_VALUE.toLong()).toInt() },
            )

        private const val AGE_UNIT_MS = 4L
    }
}
