package io.kumquatmill.traffic.leaving

/** How long it counts that a worker has said that it leaves. */
data class LeavingSettings(
    /** How long a worker's word is reported to peers. */
    val reportedMs: Long = 10_000,
    /** How long a host that was only told prefers other workers; the age of the word counts from when the worker said it. */
    val toldMs: Long = 10_000,
    /**
     * How long a worker's word outlives its entry. A store that comes back from a copy, or a lease that lapsed, may bring the entry back; a
     * worker that leaves has ended long before.
     */
    val forgetAfterMs: Long = 600_000,
    /** Words in a report, so that it fits into a datagram; the newest ones are reported. */
    val maxReported: Int = 64,
    /** Words that are remembered, and as many that peers have told; the oldest ones give way. */
    val maxRemembered: Int = 4_096,
)
