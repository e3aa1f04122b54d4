package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.roundToInt

/**
 * Encoded observations of workers' rate limits in a report: three lists of whole numbers of the same length.
 *
 * @property tags tags of the workers
 * @property limitsPerMille limit of each worker in thousandths of a request per second, or [NO_LIMIT]
 * @property agesMs age of each observation in milliseconds
 */
@Serializable
internal class WorkerLimitColumns(
    @SerialName("t") private val tags: List<Int> = emptyList(),
    @SerialName("l") private val limitsPerMille: List<Int> = emptyList(),
    @SerialName("a") private val agesMs: List<Int> = emptyList(),
) {
    init {
        requireSameLength(tags, limitsPerMille, agesMs)
        require(limitsPerMille.all { it >= NO_LIMIT } && agesMs.all { it >= 0 }) { "expected no negative limit or age" }
    }

    fun toObservations(): Map<WorkerTag, WorkerLimitObservation> =
        valuesByTag(tags) { index ->
            val limitPerS = limitsPerMille[index].takeIf { it != NO_LIMIT }?.let { it / PER_MILLE }
            WorkerLimitObservation(limitPerS, agesMs[index].toLong())
        }

    companion object {
        private const val NO_LIMIT = -1
        private const val PER_MILLE = 1_000.0

        /** Columns of a report without observations; a frame leaves them out. */
        val EMPTY = WorkerLimitColumns()

        fun of(observations: Map<WorkerTag, WorkerLimitObservation>): WorkerLimitColumns {
            if (observations.isEmpty()) return EMPTY
            return WorkerLimitColumns(
                tags = observations.tagColumn(),
                limitsPerMille = observations.values.map { it.limitPerS?.let { limit -> (limit * PER_MILLE).roundToInt() } ?: NO_LIMIT },
                agesMs = observations.values.map { it.ageMs.toColumnNumber() },
            )
        }
    }
}
