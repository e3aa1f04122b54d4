package io.kumquatmill.scenario.invariant

/** Times and tolerances that the promises of the product allow. */
data class InvariantBounds(
    /** Time in which an accepted configuration is in force everywhere. */
    val inForceMs: Long = 8_000,
    /** Time after which a withdrawn key is refused everywhere. */
    val withdrawnKeyMs: Long = 8_000,
    /** Time after which a leaving worker gets no new work. */
    val leavingWorkerMs: Long = 5_000,
    /** Longest window that is looked at for the use of a link. */
    val linkWindowMs: Long = 1_000,
)
