package io.kumquatmill.traffic.ratelimit

/** How a workspace's rate limit is shared among all hosts. */
data class RateLimitSettings(
    /** Fraction of each rate that is split evenly among the hosts. A host keeps its part even when it is partitioned from the fleet. */
    val evenFraction: Double = 0.8,
    /** Fraction of the rate that hosts without demand hold together, so that their first requests are admitted. */
    val idleFraction: Double = 0.3,
    /** A host needs a share of this many times its demand, so that random bursts of arrivals are admitted. */
    val headroom: Double = 1.5,
    /**
     * Report intervals between two raises of a host's share: by then the first raise has been reported to all peers, and their
     * reports have been received in turn.
     */
    val raiseIntervalReports: Int = 2,
    /** Shares older than this are recomputed before they are used, because the process was stalled in the meantime. */
    val staleAfterMs: Long = 750,
    /** Minimum time between two loan requests; a response from another region takes most of it. */
    val loanRequestIntervalMs: Long = 100,
    /** How long borrowed tokens can be used. The platform tolerates the excess over the rate that lenders refill in this time. */
    val loanTtlMs: Long = 1_000,
    /** A host requests a loan when its tokens cover less than this time at its demand, and lends only tokens beyond that. */
    val reserveMs: Long = 300,
    /** Number of peers that are asked at once, as one of them may be down or have no tokens left. */
    val lenders: Int = 2,
    /** How long a request without a token waits for a loan: a round trip to another region, as stated by the platform. */
    val loanWaitMs: Long = 80,
    /**
     * Requests without a token are refused at once when the workspace's demand is more than this many times its rate, as no peer
     * has tokens to lend then.
     */
    val noLoanDemandFactor: Double = 1.5,
    /** Fraction of the burst that hosts hold as tokens. The rest covers share changes that reach the hosts at different times. */
    val burstFraction: Double = 0.8,
    /**
     * Tokens beyond the burst that the buckets of all hosts hold together, so that random arrivals of a small workspace are
     * admitted. The platform tolerates 20. Each host holds at least one and at most two of them.
     */
    val extraTokens: Double = 14.0,
    /**
     * Tokens that all hosts together start with: the rate of [startRateMs], this fraction of the burst and [startExtraTokens]. A host that
     * restarts does not know what it has granted before, so they are at most half of what the platform tolerates above rate and burst.
     */
    val startBurstFraction: Double = 0.15,
    val startRateMs: Long = 250,
    val startExtraTokens: Double = 3.0,
    /** A host that gets its first share later than this after its start starts without tokens. */
    val startWithinMs: Long = 5_000,
    /** Time after a host's start in which it does not know yet what it may use, so that requests rather wait than are refused. */
    val startingMs: Long = 3_000,
    /** Time after which a request that waits for the next token tries again. */
    val tokenRetryMs: Long = 100,
    /** The tokens of a workspace are pooled on few hosts if its rate divided by the number of hosts is lower; see [TokenPools]. */
    val pooledBelowPerHostPerS: Double = 2.0,
    /** How long a request waits for a token of a pool host in its own region; zones of a region are a few milliseconds apart. */
    val ownRegionLoanWaitMs: Long = 30,
)
