package io.kumquatmill.limits.ledger

/** Units of one limit that a host holds, lends and borrows, for status reports and logs. */
data class Holding(
    val limit: LimitId,
    /** Units that the host may use at present. */
    val units: Long,
    /** Base units that the roster assigns to the host. */
    val baseUnits: Long,
    /** Base units that are committed to borrowers and not usable by the host. */
    val lentUnits: Long,
    /** Units that the host has borrowed. */
    val borrowedUnits: Long,
    /** Units of the limit across all hosts. */
    val totalUnits: Long,
    /** Units that the host's recent demand calls for. */
    val neededUnits: Long,
)
