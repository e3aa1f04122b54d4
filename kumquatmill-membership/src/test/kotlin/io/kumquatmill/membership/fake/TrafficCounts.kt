package io.kumquatmill.membership.fake

import io.kumquatmill.common.id.HostId
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreReply
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

/** Counts the traffic between the hosts and the store, per second, and among the hosts. */
internal class TrafficCounts(
    private val clockMs: () -> Long,
) {
    private val reads = mutableMapOf<Long, Int>()
    private val writes = mutableMapOf<Long, Int>()
    private val peerBytes = mutableMapOf<HostId, Long>()
    private var messages = 0L
    private var storeBytes = 0L
    private var sinceMs = 0L

    val peakReadsPerS: Int
        get() = reads.values.maxOrNull() ?: 0

    val peakWritesPerS: Int
        get() = writes.values.maxOrNull() ?: 0

    fun reset() {
        listOf(reads, writes, peerBytes).forEach { it.clear() }
        messages = 0
        storeBytes = 0
        sinceMs = clockMs()
    }

    fun onStoreCall(call: StoreCall) {
        val isRead = call is StoreCall.Read || call is StoreCall.ReadPrefix || call is StoreCall.Watch
        (if (isRead) reads else writes).merge(clockMs() / MS_PER_S, 1, Int::plus)
    }

    fun onStoreResult(result: StoreResult) {
        storeBytes += STORE_ENVELOPE_BYTES + (result.getOrNull()?.valueBytes() ?: 0)
    }

    @OptIn(ExperimentalSerializationApi::class)
    fun onMessage(
        from: HostId,
        to: HostId,
        message: MembershipMessage,
    ) {
        messages++
        val sizeBytes = PEER_ENVELOPE_BYTES + Cbor.encodeToByteArray<MembershipMessage>(message).size.toLong()
        listOf(from, to).forEach { peerBytes.merge(it, sizeBytes, Long::plus) }
    }

    /** Returns one line with the rates for a fleet of [size] since the last reset. */
    fun summary(size: Int): String {
        val seconds = (clockMs() - sinceMs) / MS_PER_S.toDouble()
        return "hosts=%d reads/s=%.0f (peak %d) writes/s=%.0f (peak %d) messages/s per host=%.2f ".format(
            size,
            reads.values.sum() / seconds,
            peakReadsPerS,
            writes.values.sum() / seconds,
            peakWritesPerS,
            messages / seconds / size,
        ) +
            "peer bytes/s per host mean=%.0f max=%.0f store bytes/s per host=%.0f".format(
                peerBytes.values.sum() / seconds / size,
                (peerBytes.values.maxOrNull() ?: 0) / seconds,
                storeBytes / seconds / size,
            )
    }

    private fun StoreReply.valueBytes(): Int =
        when (this) {
            is StoreReply.Entry -> entry?.value?.length ?: 0
            is StoreReply.Entries -> entries.sumOf { it.value.length + it.key.length }
            is StoreReply.Changes -> changes.sumOf { (it.value?.length ?: 0) + it.key.length }
            else -> 0
        }

    private companion object {
        const val MS_PER_S = 1_000L
        const val PEER_ENVELOPE_BYTES = 40L
        const val STORE_ENVELOPE_BYTES = 60L
    }
}
