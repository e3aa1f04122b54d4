package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId

/** A move of units between this host and [peer], for the log. */
data class ShareChange(
    val kind: ShareChangeKind,
    val limit: LimitId,
    val peer: HostId,
    /** Units of the loan after the change. */
    val units: Long,
)

/** What happened in a [ShareChange]. */
enum class ShareChangeKind(
    val wireName: String,
) {
    /** This host lends units to the peer. */
    LENT("lent"),

    /** This host asked the peer to keep only the units stated. */
    RECALLED("recalled"),

    /** The peer gave units back. */
    TAKEN_BACK("taken-back"),

    /** This host holds units of the peer. */
    BORROWED("borrowed"),

    /** This host gave units back to the peer. */
    RETURNED("returned"),
}
