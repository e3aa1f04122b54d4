package io.kumquatmill.traffic.retry

import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.limits.bucket.TokenBucket

/**
 * Limits the retries to each upstream.
 *
 * Workers often fail together, and every host would then retry at the same time. Each first attempt adds a fraction of a retry to the
 * budget, and each host holds its part of a fixed reserve, so that all hosts together make at most ratio x requests + reserve retries.
 *
 * @param ratio number of retries, usually a fraction, that a request adds to the budget
 * @param reserve retries beyond the ratio that all hosts together may make
 * @param windowMs time in milliseconds over which the budget applies
 */
class RetryBudget(
    private val ratio: Double,
    private val reserve: Double,
    private val windowMs: Long,
) {
    private val buckets = HashMap<UpstreamId, TokenBucket>()

    /** Records the first attempt of a request to [upstream] in a fleet of [hosts] hosts. */
    fun onFirstAttempt(
        nowMs: Long,
        upstream: UpstreamId,
        hosts: Int,
    ) = bucket(nowMs, upstream, hosts).deposit(nowMs, ratio * BUDGET_FRACTION)

    /** Takes a retry to [upstream] from the budget; returns false if the budget is used up. */
    fun tryTake(
        nowMs: Long,
        upstream: UpstreamId,
        hosts: Int,
    ): Boolean = bucket(nowMs, upstream, hosts).tryTake(nowMs, 1.0)

    private fun bucket(
        nowMs: Long,
        upstream: UpstreamId,
        hosts: Int,
    ): TokenBucket {
        val ownReserve = maxOf(1.0, reserve * BUDGET_FRACTION / hosts)
        val refillPerS = ownReserve / windowMs * MILLIS_PER_SECOND * REFILL_FRACTION
        val bucket = buckets.getOrPut(upstream) { TokenBucket(refillPerS, ownReserve, nowMs, ownReserve * INITIAL_FRACTION) }
        if (bucket.capacity != ownReserve) bucket.rescale(nowMs, refillPerS, ownReserve)
        return bucket
    }

    private companion object {
        /** Fraction of the budget that is used; the rest covers requests that are counted in another window than their retry. */
        const val BUDGET_FRACTION = 0.8

        /** Fraction of the reserve that is refilled per window, so that the refill and a full bucket fit into one window together. */
        const val REFILL_FRACTION = 0.2

        /** Fraction of the reserve at the start, as a restarted host does not know what it has used before. */
        const val INITIAL_FRACTION = 0.5
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
