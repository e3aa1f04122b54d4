package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkspaceTag
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.roundToInt

/**
 * Encoded demands and shares of a [PeerReport]: three lists of whole numbers of the same length, most of which take one or two bytes.
 *
 * @property tags tags of the workspaces with demand or a share
 * @property demandTenths demand of each workspace in tenths of a request per second
 * @property sharesPerMille share of each workspace in thousandths, or [NO_SHARE] if the report has none
 */
@Serializable
internal class WorkspaceColumns(
    @SerialName("t") private val tags: List<Int>,
    @SerialName("d") private val demandTenths: List<Int>,
    @SerialName("q") private val sharesPerMille: List<Int>,
) {
    init {
        require(demandTenths.size == tags.size && sharesPerMille.size == tags.size) {
            "expected as many demands and shares as tags, found ${tags.size}, ${demandTenths.size} and ${sharesPerMille.size}"
        }
        require(demandTenths.all { it >= 0 } && sharesPerMille.all { it >= NO_SHARE }) { "expected no negative demand or share" }
    }

    fun demandPerS(): Map<WorkspaceTag, Double> = byTag(demandTenths) { it > 0 }.mapValues { (_, tenths) -> tenths / TENTHS }

    fun sharesPerMille(): Map<WorkspaceTag, Int> = byTag(sharesPerMille) { it != NO_SHARE }

    private fun byTag(
        values: List<Int>,
        isPresent: (Int) -> Boolean,
    ): Map<WorkspaceTag, Int> =
        tags.indices
            .filter { isPresent(values[it]) }
            .associate { WorkspaceTag(tags[it]) to values[it] }

    companion object {
        private const val NO_SHARE = -1
        private const val TENTHS = 10.0

        fun of(report: PeerReport): WorkspaceColumns {
            val tags = (report.demandPerS.keys + report.sharesPerMille.keys).toList()
            return WorkspaceColumns(
                tags = tags.map { it.value },
                demandTenths = tags.map { tag -> ((report.demandPerS[tag] ?: 0.0) * TENTHS).roundToInt() },
                sharesPerMille = tags.map { report.sharesPerMille[it] ?: NO_SHARE },
            )
        }
    }
}
