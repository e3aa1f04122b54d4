package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest
import kotlinx.serialization.Serializable

/** One datagram between hosts, which holds one of these. */
@Serializable
class PeerMessage(
    val report: PeerReport? = null,
    val ask: LoanRequest? = null,
    val grant: LoanGrant? = null,
)
