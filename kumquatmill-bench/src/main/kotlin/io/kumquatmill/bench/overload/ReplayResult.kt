package io.kumquatmill.bench.overload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Results of the replay of a [LoadPattern] under a policy. Fractions are from 0 to 1.
 *
 * @property earnedFraction earned fraction of the possible benefit
 * @property worstZoneEarnedFraction earned fraction of the benefit in the zone where it is lowest
 * @property earnedByCall earned fraction of the benefit by kind of request
 * @property worstKindEarnedFraction earned fraction of the benefit of the kind of request for which it is lowest
 * @property earnedByZone earned fraction of the benefit by the caller's zone
 * @property inTimeFraction requests that got a response within their target latency
 * @property lateFraction requests that got a response between their target latency and their deadline
 * @property warmFraction executed requests whose object was warm
 * @property localFraction attempts that were sent to a worker in the caller's region
 * @property maxShiftedFraction largest fraction of a region's attempts that moved to other regions from one 2 s window to the next
 * @property groups what requests of each workspace priority, route priority and kind earned, to show who bears the cost
 */
@Serializable
internal data class ReplayResult(
    val pattern: String,
    val policy: String,
    val seed: Int,
    val requests: Int,
    @SerialName("earnedPart")
    val earnedFraction: Double,
    @SerialName("worstZonePart")
    val worstZoneEarnedFraction: Double,
    @SerialName("worstKindPart")
    val worstKindEarnedFraction: Double,
    val earnedByZone: Map<String, Double>,
    val earnedByCall: Map<String, Double>,
    @SerialName("inTimePart")
    val inTimeFraction: Double,
    @SerialName("refusedPart")
    val refusedFraction: Double,
    @SerialName("latePart")
    val lateFraction: Double,
    @SerialName("failedPart")
    val failedFraction: Double,
    @SerialName("warmPart")
    val warmFraction: Double,
    @SerialName("localPart")
    val localFraction: Double,
    @SerialName("mostShifted")
    val maxShiftedFraction: Double,
    val groups: List<GroupResult>,
)
