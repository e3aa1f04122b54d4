package io.kumquatmill.bench.overload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What the requests of a group earned in one replay. Fractions are from 0 to 1.
 *
 * @property earned earned benefit
 * @property earnedFraction earned fraction of the possible benefit
 */
@Serializable
internal data class GroupResult(
    val name: String,
    val earned: Double,
    @SerialName("earnedPart")
    val earnedFraction: Double,
    @SerialName("refusedPart")
    val refusedFraction: Double,
    @SerialName("latePart")
    val lateFraction: Double,
    @SerialName("failedPart")
    val failedFraction: Double,
)
