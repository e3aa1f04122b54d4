package io.kumquatmill.traffic.retry

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.limits.bucket.TokenBucket

/**
 * Bounds how often requests are sent to a second worker, for each upstream.
 *
 * Pattern answered: workers fail together, and every host repeats at once. Each first sending earns a part of a repeat, and each
 * host holds its part of a fixed reserve, so that the sum over all hosts stays within ratio x requests + reserve.
 *
 * @param ratio repeats that a request earns
 * @param reserve repeats that all hosts together may have beyond it
 * @param windowMs time in which a used reserve comes back
 */
class RetryAllowance(
    private val ratio: Double,
    private val reserve: Double,
    private val windowMs: Long,
) {
    private val buckets = HashMap<UpstreamId, TokenBucket>()

    /** Counts a request's first sending to [upstream] in a fleet of [hosts]. */
    fun onFirst(
        nowMs: Long,
        upstream: UpstreamId,
        hosts: Int,
    ) = bucket(nowMs, upstream, hosts).deposit(nowMs, ratio * SAFETY)

    /** Takes a repeat to [upstream]; returns false when there is none left. */
    fun takeRetry(
        nowMs: Long,
        upstream: UpstreamId,
        hosts: Int,
    ): Boolean = bucket(nowMs, upstream, hosts).tryTake(nowMs, 1.0)

    private fun bucket(
        nowMs: Long,
        upstream: UpstreamId,
        hosts: Int,
    ): TokenBucket {
        val ownReserve = maxOf(1.0, reserve * SAFETY / hosts)
        val refillPerS = ownReserve / windowMs * MILLIS_PER_SECOND * REFILL_PART
        val bucket = buckets.getOrPut(upstream) { TokenBucket(refillPerS, ownReserve, nowMs, ownReserve * START_PART) }
        if (bucket.capacity != ownReserve) bucket.rescale(nowMs, refillPerS, ownReserve)
        return bucket
    }

    private companion object {
        /** Part of the budget that is used, the rest covers requests that are counted in another window than their repeat. */
        const val SAFETY = 0.8

        /** Part of the reserve that comes back within a window: refill and a full bucket both fit into one. */
        const val REFILL_PART = 0.2

        /** A host that restarts does not know what it used before. */
        const val START_PART = 0.5
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
