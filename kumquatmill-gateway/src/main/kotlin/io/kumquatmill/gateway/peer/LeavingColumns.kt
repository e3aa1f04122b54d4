package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.WorkerTag
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Encoded workers that leave in a report: two lists of whole numbers of the same length.
 *
 * @property tags tags of the workers
 * @property agesMs time since each worker said so in milliseconds
 */
@Serializable
internal class LeavingColumns(
    @SerialName("t") private val tags: List<Int> = emptyList(),
    @SerialName("a") private val agesMs: List<Int> = emptyList(),
) {
    init {
        requireSameLength(tags, agesMs)
        require(agesMs.all { it >= 0 }) { "expected no negative age" }
    }

    fun toAges(): Map<WorkerTag, Long> = valuesByTag(tags) { agesMs[it].toLong() }

    companion object {
        fun of(agesMs: Map<WorkerTag, Long>) =
            LeavingColumns(
                tags = agesMs.tagColumn(),
                agesMs = agesMs.values.map { it.toColumnNumber() },
            )
    }
}
