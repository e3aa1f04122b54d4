package io.kumquatmill.traffic.fleet

/** Times of the fleet book. */
data class FleetSettings(
    /** A host that is silent for this long is not named to callers: five reports in a row are lost. */
    val silentAfterMs: Long = 2_500,
    /** How long the demand of a silent host keeps its part of an allowance, since it may be cut off and still spend it. */
    val retainDemandMs: Long = 10_000,
    /** After this time without any peer a host spends no more than what is its own in every case. */
    val isolatedAfterMs: Long = 8_000,
    /** A silent host still counts for the size of the fleet for this long. */
    val forgetAfterMs: Long = 60_000,
)
