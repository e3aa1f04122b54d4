package io.kumquatmill.bench.overload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Results of the replay of a [LoadPattern] under a policy. Fractions are from 0 to 1.
 *
 * @property earnedFraction earned fraction of the possible benefit
 * @property worstZoneEarnedFraction earned fraction of the benefit in the zone where it is lowest
 * @property earnedByCall earned fraction of the benefit by kind of request
 * @property inTimeFraction requests that got a response within their target latency
 * @property warmFraction executed requests whose object was warm
 * @property localFraction attempts that were sent to a worker in the caller's region
 * @property maxShiftedFraction largest fraction of a region's attempts that moved to other regions from one 2 s window to the next
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
    val earnedByCall: Map<String, Double>,
    @SerialName("inTimePart")
    val inTimeFraction: Double,
    @SerialName("refusedPart")
    val refusedFraction: Double,
    @SerialName("failedPart")
    val failedFraction: Double,
    @SerialName("warmPart")
    val warmFraction: Double,
    @SerialName("localPart")
    val localFraction: Double,
    @SerialName("mostShifted")
    val maxShiftedFraction: Double,
)
