package io.kumquatmill.limits.ledger

/** Settings of the share ledger, the same on every host of a fleet. */
data class LedgerSettings(
    /** Maximum duration of a loan without renewal. */
    val loanDurationMs: Long = 4_000,
    /** Time that a lender waits after the end of a loan, to allow for clock drift between hosts. */
    val clockDriftMarginMs: Long = 500,
    /** Interval at which a borrower renews its loans. */
    val renewalIntervalMs: Long = 1_000,
    /** Number of lenders above which a borrower renews less often, to bound its message rate. */
    val maxLendersAtRenewalInterval: Int = 24,
    /** Maximum interval at which a borrower renews its loans; two renewals must fit into [loanDurationMs]. */
    val maxRenewalIntervalMs: Long = 1_700,
    /** Maximum number of home hosts of a limit in one region. */
    val maxHomesPerRegion: Int = 4,
    /** Maximum number of home hosts of a limit in all regions together. */
    val maxHomes: Int = 12,
    /** Maximum time that a request holds a slot. */
    val maxRequestDurationMs: Long = 10_000,
    /**
     * Maximum jitter of the time between a decision and the arrival of the request at a worker. The tokens that the rate yields in
     * this time are reserved from the burst.
     */
    val jitterGuardMs: Long = 100,
    /** Time window over which demand is averaged. */
    val demandWindowMs: Long = 1_000,
    /** Time after the last demand at which a host returns its loans. */
    val idleTimeoutMs: Long = 5_000,
    /** Time after which a lender discards a request that led to no loan and was not repeated. */
    val needRetentionMs: Long = 5_000,
    /** Interval at which a borrower repeats a request that has not been fulfilled. */
    val requestRetryIntervalMs: Long = 2_000,
    /** Interval at which a host compares its demand with its units if no attempt to take tokens failed. */
    val rebalanceIntervalMs: Long = 250,
    /** Retry delay for callers if there is no better estimate. */
    val defaultRetryAfterMs: Long = 200,
    /** Maximum retry delay for callers. */
    val maxRetryAfterMs: Long = 5_000,
)
