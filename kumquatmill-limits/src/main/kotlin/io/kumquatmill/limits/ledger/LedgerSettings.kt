package io.kumquatmill.limits.ledger

/** Settings of the share ledger; every host of a fleet has the same. */
data class LedgerSettings(
    /** Longest time that a loan lasts without renewal. */
    val loanMs: Long = 4_000,
    /** Time that a lender waits beyond the end of a loan, for clocks that run at different speeds. */
    val driftMarginMs: Long = 500,
    /** Interval at which a borrower renews its loans. */
    val renewIntervalMs: Long = 1_000,
    /** Number of lenders of a host above which it renews less often, to bound its messages. */
    val promptLenders: Int = 24,
    /** Longest interval at which a borrower renews its loans; two renewals must fit into the time of a loan. */
    val maxRenewIntervalMs: Long = 1_700,
    /** Most home hosts of a limit in a region. */
    val homesPerRegion: Int = 4,
    /** Most home hosts of a limit in all regions together. */
    val maxHomes: Int = 12,
    /** Longest time that a request holds a slot. */
    val maxRequestMs: Long = 10_000,
    /** Most by which the times between a decision and its arrival at a worker differ; its part of the rate is kept back from the burst. */
    val jitterGuardMs: Long = 100,
    /** Time over which demand is averaged. */
    val demandWindowMs: Long = 1_000,
    /** Time after the last demand at which a host gives back what it borrowed. */
    val idleReturnMs: Long = 5_000,
    /** Time after which a lender forgets a request that led to no loan and was not repeated. */
    val needRetentionMs: Long = 5_000,
    /** Interval at which a borrower repeats a request that was not met. */
    val repeatIntervalMs: Long = 2_000,
    /** Interval at which a host compares its demand with its units, if nothing was short. */
    val reviewIntervalMs: Long = 250,
    /** Time after which a caller may come back when no better estimate is known. */
    val defaultRetryAfterMs: Long = 200,
    /** Longest time after which a caller is told to come back. */
    val maxRetryAfterMs: Long = 5_000,
)
