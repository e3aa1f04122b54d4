package io.kumquatmill.limits.ledger

/** What a host holds of one limit, for status and log. */
data class Holding(
    val limit: LimitId,
    /** Units that the host may use now. */
    val units: Long,
    /** Units that are the host's own by the roster. */
    val anchorUnits: Long,
    /** Units of its own that the host has lent and can't use. */
    val lentUnits: Long,
    /** Units that the host has borrowed. */
    val borrowedUnits: Long,
    /** Units of the limit over all hosts. */
    val totalUnits: Long,
    /** Units that the host would like to have. */
    val neededUnits: Long,
)
