package io.kumquatmill.traffic.control

/** What a worker's response states about the rate of requests that the worker takes from all hosts together. */
sealed interface StatedRateLimit {
    /** The response names no limit. */
    data object None : StatedRateLimit

    /** The worker takes at most [perS] requests per second; finite and not negative. */
    data class Named(
        val perS: Double,
    ) : StatedRateLimit {
        init {
            require(perS.isFinite() && perS >= 0) { "invalid rate limit of $perS requests per second" }
        }
    }

    /** The response names a limit that cannot be read. */
    data object Invalid : StatedRateLimit
}
