package io.kumquatmill.traffic.pause

/** What a worker's refusal states about the time for which the worker wants no requests from this host. */
sealed interface StatedPause {
    /** The answer names no time, or one that is over. */
    data object None : StatedPause

    /** The worker wants nothing for [pauseMs] milliseconds, which is positive. */
    data class Named(
        val pauseMs: Long,
    ) : StatedPause {
        init {
            require(pauseMs > 0) { "invalid pause of $pauseMs ms" }
        }
    }

    /** The answer names a time that cannot be read. */
    data object Invalid : StatedPause
}
