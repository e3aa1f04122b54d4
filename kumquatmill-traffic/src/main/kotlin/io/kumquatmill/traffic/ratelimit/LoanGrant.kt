package io.kumquatmill.traffic.ratelimit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Tokens that [lender] has taken out of its own bucket for the [LoanRequest] with the same [number]; 0 if it has none to lend.
 *
 * @property loadFactor demand at all hosts as a fraction of the workspace's rate, as far as the lender knows it
 */
@Serializable
@SerialName("io.kumquatmill.traffic.allowance.LoanGrant")
data class LoanGrant(
    @SerialName("l") val lender: String,
    @SerialName("w") val workspace: String,
    @SerialName("t") val tokens: Double,
    @SerialName("n") val number: Long,
    @SerialName("f") val loadFactor: Double = 0.0,
) {
    init {
        require(tokens.isFinite() && tokens >= 0 && loadFactor.isFinite()) { "invalid grant of $tokens tokens, load factor $loadFactor" }
    }
}
