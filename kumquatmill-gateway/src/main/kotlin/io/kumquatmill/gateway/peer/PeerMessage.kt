package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest

/** A datagram between hosts; exactly one of the properties is set. */
class PeerMessage(
    val report: PeerReport? = null,
    val loanRequest: LoanRequest? = null,
    val grant: LoanGrant? = null,
)
