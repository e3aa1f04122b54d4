package io.kumquatmill.node

/** Units of one limit that a host may use now, out of all units of the limit. */
data class ShareStatus(
    val limit: String,
    val units: Long,
    val totalUnits: Long,
)
