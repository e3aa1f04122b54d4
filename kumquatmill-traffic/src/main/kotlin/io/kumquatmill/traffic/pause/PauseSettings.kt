package io.kumquatmill.traffic.pause

/** How long a worker's pause counts. */
data class PauseSettings(
    /** Longest pause in milliseconds. A longer one may have been named by a false answer; a worker that meant it can name it again. */
    val maxPauseMs: Long = 60_000,
    /** A pause that ends later by at most this, in milliseconds, is the one that is known: answers to requests in flight name it again. */
    val sameWithinMs: Long = 500,
)
