package io.kumquatmill.membership.fake

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.StoreCall

/** Counts what the hosts ask of the store and say to each other. */
internal class TrafficCounts {
    var storeReads = 0
    var storeWrites = 0
    var messages = 0
    var messageBytes = 0L
    val bytesByHost = mutableMapOf<HostId, Long>()

    fun onStoreCall(call: StoreCall) {
        when (call) {
            is StoreCall.Read, is StoreCall.ReadPrefix, is StoreCall.Watch -> storeReads++
            else -> storeWrites++
        }
    }

    fun onMessage(
        from: HostId,
        to: HostId,
        sizeBytes: Int,
    ) {
        messages++
        messageBytes += sizeBytes
        listOf(from, to).forEach { bytesByHost.merge(it, sizeBytes.toLong(), Long::plus) }
    }

    fun reset() {
        storeReads = 0
        storeWrites = 0
        messages = 0
        messageBytes = 0
        bytesByHost.clear()
    }
}
