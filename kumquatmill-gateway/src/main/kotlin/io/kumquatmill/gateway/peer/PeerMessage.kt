package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.allowance.LoanAsk
import io.kumquatmill.traffic.allowance.LoanGrant
import io.kumquatmill.traffic.fleet.PeerReport
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A datagram between hosts; exactly one of the properties is set. */
@Serializable
class PeerMessage(
    val report: PeerReport? = null,
    @SerialName("ask") val loanRequest: LoanAsk? = null,
    val grant: LoanGrant? = null,
)
