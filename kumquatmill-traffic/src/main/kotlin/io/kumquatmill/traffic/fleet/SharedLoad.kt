package io.kumquatmill.traffic.fleet

/**
 * Load of a worker that it reported to a host, which passes it on to its peers.
 *
 * @property requests requests that were running or waiting at the worker
 * @property ageMs time since the worker's report in milliseconds
 */
data class SharedLoad(
    val requests: Int,
    val ageMs: Long,
) {
    init {
        require(requests >= 0) { "invalid load of $requests requests" }
        require(ageMs >= 0) { "invalid age of $ageMs ms" }
    }
}
