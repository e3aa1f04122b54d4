package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId

/** Change of a loan between this host and [peer], for the log. */
data class LoanEvent(
    val kind: LoanEventKind,
    val limit: LimitId,
    val peer: HostId,
    /** Units of the loan after the change; for a recall, the units that the peer may keep. */
    val units: Long,
)

/** Kind of a [LoanEvent]; [wireName] is its name in the log. */
enum class LoanEventKind(
    val wireName: String,
) {
    /** This host lent units to the peer. */
    LENT("lent"),

    /** This host asked the peer to return all units above the stated number. */
    RECALLED("recalled"),

    /** The peer returned units to this host. */
    TAKEN_BACK("taken-back"),

    /** This host borrowed units from the peer. */
    BORROWED("borrowed"),

    /** This host returned units to the peer. */
    RETURNED("returned"),
}
