package io.kumquatmill.traffic.ratelimit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Request of a host that is short of tokens: [borrower] asks [lender] for [tokens] tokens of [workspace].
 *
 * @property borrower name of the host that asks
 * @property ip IP address of the borrower, to which the grant is sent
 * @property number identifies the request among all loan requests of the borrower
 */
@Serializable
@SerialName("io.kumquatmill.traffic.allowance.LoanAsk")
data class LoanRequest(
    @SerialName("b") val borrower: String,
    @SerialName("ip") val ip: String,
    @SerialName("l") val lender: String,
    @SerialName("w") val workspace: String,
    @SerialName("t") val tokens: Double,
    @SerialName("n") val number: Long,
) {
    init {
        require(tokens.isFinite() && tokens >= 0) { "invalid request for $tokens tokens" }
    }
}
