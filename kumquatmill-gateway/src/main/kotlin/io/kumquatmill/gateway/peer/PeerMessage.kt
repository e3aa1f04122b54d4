package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A datagram between hosts; exactly one of the properties is set. */
@Serializable
class PeerMessage(
    val report: PeerReport? = null,
    @SerialName("ask") val loanRequest: LoanRequest? = null,
    val grant: LoanGrant? = null,
)
