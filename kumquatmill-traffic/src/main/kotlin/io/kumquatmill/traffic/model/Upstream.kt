package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.UpstreamId

/**
 * An upstream of the desired state.
 *
 * @property maxConnections maximum number of connections to one worker from all hosts together
 * @property coldMs how long a worker is cold after its start, in milliseconds; a cold worker is slow and has a rate limit
 * @property coldRatePerS requests per second that a cold worker may receive from all hosts together; 0 means no limit
 */
data class Upstream(
    val id: UpstreamId,
    val maxConnections: Int,
    val coldMs: Long,
    val coldRatePerS: Double,
)
