@file:OptIn(ExperimentalSerializationApi::class)

package io.kumquatmill.limits.ledger

import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import kotlin.random.Random

/**
 * Measures the cost of the ledgers of a fleet by number of hosts and limits: messages, bytes, tick duration and heap.
 *
 * Every limit receives a third of its rate, through the hosts that steering would choose.
 */
fun main() {
    println("hosts limits regions | messages/s and CBOR bytes/s per host | us per tick and host | heap bytes per limit and host")
    for ((hosts, limits) in listOf(
        7 to 60,
        7 to 240,
        7 to 960,
        50 to 60,
        50 to 240,
        50 to 960,
        150 to 240,
        150 to 960,
        450 to 60,
        450 to 240,
        450 to 960,
    )) {
        LedgerCost(hosts, limits, regions = if (hosts < 50) 3 else hosts / 4).measure()
    }
}

private class LedgerCost(
    private val hosts: Int,
    private val limits: Int,
    private val regions: Int,
) {
    private val random = Random(1)
    private val regionIds = (1..regions).map { RegionId("region-$it") }
    private val members = (1..hosts).map { member(it, regions = regionIds) }
    private val specs = (1..limits).map { LimitSpec.Rate(LimitId("rate/workspace-$it"), ratePerS = 50.0, burst = 25.0) }
    private val callersOf =
        specs.associate { spec -> spec.id to rendezvousOrder(spec.id.placementKey, members) { it.host.value }.take(3).map { it.host } }
    private val ledgers = sortedMapOf<HostId, ShareLedger>()
    private var inbox = emptyList<Pair<HostId, OutgoingLedgerMessage>>()
    private var messages = 0L
    private var bytes = 0L
    private var tickTimeNs = 0L
    private val kindCounts = sortedMapOf<String, Int>()

    fun measure() {
        val heapBytesBefore = usedHeapBytes()
        members.forEach { ledgers[it.host] = ShareLedger(it.host, LedgerSettings(), specs) }
        run(0, WARM_UP_MS)
        val heapBytesPerLimit = (usedHeapBytes() - heapBytesBefore) / hosts / limits
        messages = 0
        bytes = 0
        tickTimeNs = 0
        run(WARM_UP_MS, WARM_UP_MS + MEASUREMENT_MS)
        val hostSeconds = hosts * MEASUREMENT_MS / 1000.0
        val ticks = hosts * MEASUREMENT_MS / TICK_INTERVAL_MS
        println(kindCounts.mapValues { "%.1f".format(it.value / hostSeconds) })
        println(
            "%5d %6d %7d | %8.1f %10.0f | %8.1f | %6d".format(
                hosts,
                limits,
                regions,
                messages / hostSeconds,
                bytes / hostSeconds,
                tickTimeNs / 1000.0 / ticks,
                heapBytesPerLimit,
            ),
        )
    }

    private fun run(
        fromMs: Long,
        untilMs: Long,
    ) {
        for (nowMs in fromMs until untilMs step TICK_INTERVAL_MS) {
            if (nowMs % 1_000 == 0L) ledgers.values.forEach { it.onStanding(nowMs, settled(members).validUntil(nowMs + 4_000)) }
            load(nowMs)
            val outbox = mutableListOf<Pair<HostId, OutgoingLedgerMessage>>()
            val startedNs = System.nanoTime()
            inbox.forEach { (from, outgoing) ->
                val replies = ledgers.getValue(outgoing.to).onMessage(nowMs, from, members.first().incarnation, outgoing.message)
                outbox += replies.map { outgoing.to to it }
            }
            ledgers.forEach { (host, ledger) -> outbox += ledger.onTick(nowMs).map { host to it } }
            tickTimeNs += System.nanoTime() - startedNs
            messages += outbox.size
            if (fromMs > 0) outbox.forEach { (_, outgoing) -> kindCounts.merge(outgoing.message::class.simpleName.orEmpty(), 1, Int::plus) }
            if (fromMs > 0) bytes += outbox.sumOf { (_, outgoing) -> Cbor.encodeToByteArray<LedgerMessage>(outgoing.message).size }
            inbox = outbox
        }
    }

    private fun load(nowMs: Long) =
        specs.forEach { spec ->
            if (random.nextDouble() <
                50.0 / 3 * TICK_INTERVAL_MS / 1000
            ) {
                ledgers.getValue(callersOf.getValue(spec.id).random(random)).tryTake(nowMs, spec.id)
            }
        }

    private fun usedHeapBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 50L
        const val WARM_UP_MS = 10_000L
        const val MEASUREMENT_MS = 10_000L
    }
}
