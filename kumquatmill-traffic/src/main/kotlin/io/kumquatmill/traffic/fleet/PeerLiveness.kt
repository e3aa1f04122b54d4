package io.kumquatmill.traffic.fleet

/** What this host can assume about a peer. */
sealed interface PeerLiveness {
    /** The peer's latest [report] is only a few report intervals old and still applies; the peer is assumed to receive this host's. */
    data class Fresh(
        val report: PeerReport,
    ) : PeerLiveness

    /** The peer is silent, but may be alive and use the shares of its last [report], which is null if none was ever received. */
    data class Silent(
        val report: PeerReport?,
    ) : PeerLiveness

    /** No host has received a report of the peer for so long that it is down or uses only its even shares. */
    data object Lost : PeerLiveness
}
