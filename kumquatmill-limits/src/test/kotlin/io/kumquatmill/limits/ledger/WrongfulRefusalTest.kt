package io.kumquatmill.limits.ledger

import io.kumquatmill.common.id.HostId
import io.kumquatmill.limits.bucket.TokenBucket
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Tests how many requests are refused although a single bucket for the whole fleet would have admitted them. */
class WrongfulRefusalTest {
    private val acme = LimitId("rate/acme")
    private val rate = LimitSpec.Rate(acme, ratePerS = 50.0, burst = 25.0)

    private data class Refusals(
        val requests: Int,
        val byLedger: Int,
        val byFixedShare: Int,
    )

    /** First-in, first-out queues, one per host, of requests that wait for a token. */
    private class WaitingRequests(
        private val take: (HostId) -> Boolean,
    ) {
        private val queues = mutableMapOf<HostId, ArrayDeque<Long>>()
        var refused = 0

        fun offer(
            nowMs: Long,
            host: HostId,
            maxWaitMs: Long,
        ) {
            val queue = queues.getOrPut(host) { ArrayDeque() }
            if (queue.isEmpty() && take(host)) return
            if (maxWaitMs == 0L) refused++ else queue.addLast(nowMs + maxWaitMs)
        }

        fun poll(nowMs: Long) =
            queues.forEach { (host, queue) ->
                while (queue.isNotEmpty() && (queue.first() <= nowMs || take(host))) {
                    if (queue.removeFirst() <= nowMs) refused++
                }
            }
    }

    /** Sends groups of up to [groupSize] requests, 35 requests/s on average, each group to a random one of [hosts], after a warm-up. */
    private fun measure(
        hosts: List<Int>,
        groupSize: Int,
        maxWaitMs: Long,
    ): Refusals {
        val fleet = FakeFleet(SEVEN_MEMBERS, listOf(rate), settings = LedgerSettings())
        val fleetBucket = TokenBucket(rate.ratePerS, rate.burst, nowMs = 0)
        val fixedShareBuckets = SEVEN_MEMBERS.associate { it.host to TokenBucket(rate.ratePerS / 7, rate.burst / 7, nowMs = 0) }
        val byLedger = WaitingRequests { id -> fleet.attempt(fleet.processes.first { it.id == id }, acme) }
        val byFixedShare = WaitingRequests { id -> fixedShareBuckets.getValue(id).tryTake(fleet.nowMs, 1.0) }
        val random = Random(7)
        var requests = 0
        fleet.runUntil(20_000)
        fleet.every(10) {
            byLedger.poll(fleet.nowMs)
            byFixedShare.poll(fleet.nowMs)
            if (fleet.nowMs < 75_000 && random.nextDouble() < 35.0 / ((groupSize + 1) / 2.0) / 100) {
                val host = host(hosts.random(random))
                val withinLimit = (1..random.nextInt(1, groupSize + 1)).count { fleetBucket.tryTake(fleet.nowMs, 1.0) }
                requests += withinLimit
                repeat(withinLimit) {
                    byLedger.offer(fleet.nowMs, host, maxWaitMs)
                    byFixedShare.offer(fleet.nowMs, host, maxWaitMs)
                }
            }
        }
        fleet.runUntil(80_000)
        return Refusals(requests, byLedger.refused, byFixedShare.refused)
    }

    @Test
    fun `few requests within the rate are refused, wherever the callers are`() {
        for (hosts in listOf(listOf(1), listOf(1, 2, 3), (1..7).toList())) {
            for ((groupSize, maxWaitMs) in listOf(1 to 0L, 1 to 200L, 8 to 0L, 8 to 200L, 8 to 500L)) {
                val refusals = measure(hosts, groupSize, maxWaitMs)
                println("callers at ${hosts.size} of 7 hosts, groups up to $groupSize, wait up to $maxWaitMs ms: $refusals")
                if (hosts.size < 7) assertTrue(refusals.byLedger < refusals.byFixedShare / 2, "callers at $hosts: $refusals")
            }
        }
    }
}
