package io.kumquatmill.node

/** A host's share of one limit: the [units] that it may use now, of the limit's [totalUnits]. */
data class ShareStatus(
    val limit: String,
    val units: Long,
    val totalUnits: Long,
)
