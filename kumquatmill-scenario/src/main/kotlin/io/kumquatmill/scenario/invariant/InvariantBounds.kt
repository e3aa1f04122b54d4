package io.kumquatmill.scenario.invariant

/** Time limits within which the invariants must hold. */
data class InvariantBounds(
    /** Time within which an accepted configuration must be in force on all hosts. */
    val inForceMs: Long = 8_000,
    /** Time after which all hosts must refuse a withdrawn key. */
    val withdrawnKeyMs: Long = 8_000,
    /** Time after which a draining worker must get no new requests. */
    val leavingWorkerMs: Long = 5_000,
    /** Length of the sliding window over which the bytes on a link are counted. */
    val linkWindowMs: Long = 1_000,
)
