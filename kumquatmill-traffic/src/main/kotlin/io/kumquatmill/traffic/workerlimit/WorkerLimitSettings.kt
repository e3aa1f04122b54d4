package io.kumquatmill.traffic.workerlimit

/** How the rate that a worker takes is divided among the hosts. */
data class WorkerLimitSettings(
    /**
     * Time for whose requests all hosts together hold tokens beyond the rate. The platform tolerates half of the limit over a window of
     * four seconds, which is two seconds of the limit; the rest covers hosts that do not know the same hosts.
     */
    val burstMs: Long = 1_000,
    /** Tokens that all hosts hold in addition, so that low limits can be used at all; the platform tolerates five. */
    val extraTokens: Double = 2.5,
    /** Rate at which a worker is tried that takes less, as only its responses can say that it takes more again. */
    val minRatePerS: Double = 0.25,
    /** A host tries a worker for whose limit it has heard no confirmation for this long, and a second later for each other host. */
    val unconfirmedAfterMs: Long = 20_000,
    /** How long peers are told that a worker names no limit any more. */
    val liftReportedMs: Long = 10_000,
    /** How long a limit is remembered after its worker's entry has vanished, as the entry of a live worker may return. */
    val forgetAfterMs: Long = 60_000,
    /** Limits in a report, so that it fits into a datagram; the ones that were observed last are reported. */
    val maxReported: Int = 256,
    /** Limits that are remembered of workers without an entry. */
    val maxUnlisted: Int = 4_096,
)
