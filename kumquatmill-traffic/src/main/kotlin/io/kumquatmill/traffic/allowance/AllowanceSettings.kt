package io.kumquatmill.traffic.allowance

/** How an allowance over all hosts is parted. */
data class AllowanceSettings(
    /** Part of each rate that is split evenly and belongs to a host in every case, also when it is cut off. */
    val evenPart: Double = 0.3,
    /** Demand that each host is taken to have at least, as a part of the rate, so that shares never rest on nothing. */
    val idleDemand: Double = 0.02,
    /** Part of the burst that hosts hold as tokens; the rest covers changes of shares that reach hosts at different times. */
    val burstPart: Double = 0.8,
    /** Tokens that a host's bucket holds beyond its part of the burst, so that chance arrivals of a small workspace pass. */
    val extraTokens: Double = 2.0,
)
