package io.kumquatmill.bench.fleet

import arrow.core.Either
import io.kumquatmill.scenario.virtual.VirtualTime
import io.kumquatmill.standins.platform.KeyValueStandin
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

internal typealias StoreResult = Either<StoreError, StoreReply>

/** The key-value stand-in in virtual time, with watches that wait for changes. */
internal class FleetStore(
    private val time: VirtualTime,
) {
    private val store = KeyValueStandin()
    private val pendingWatches = mutableListOf<PendingWatch>()
    private var notifiedRevision = 0L

    /** Whether the store is unavailable to all hosts. */
    var isDown: Boolean
        get() = store.faults.isDown
        set(value) {
            store.faults = store.faults.copy(isDown = value)
        }

    init {
        time.every(SCAN_INTERVAL_MS) {
            store.expireLeases(time.nowMs)
            completeWatches()
            true
        }
    }

    /** Executes [call]; [onResult] is called immediately or, if a watch has no changes yet, when the watch ends. */
    fun execute(
        call: StoreCall,
        onResult: (StoreResult) -> Unit,
    ) {
        val result = store.execute(time.nowMs, call)
        val isEmpty = (result.getOrNull() as? StoreReply.Changes)?.changes?.isEmpty() ?: false
        if (call is StoreCall.Watch && isEmpty) {
            pendingWatches += PendingWatch(call, time.nowMs + call.waitMs, onResult)
        } else {
            onResult(result)
        }
    }

    private fun completeWatches() {
        val isChanged = store.revision != notifiedRevision
        notifiedRevision = store.revision
        val completed = pendingWatches.filter { isChanged || isDown || it.deadlineMs <= time.nowMs }
        pendingWatches.removeAll(completed.toSet())
        completed.forEach { it.onResult(store.execute(time.nowMs, it.call)) }
    }

    private class PendingWatch(
        val call: StoreCall.Watch,
        val deadlineMs: Long,
        val onResult: (StoreResult) -> Unit,
    )

    private companion object {
        const val SCAN_INTERVAL_MS = 10L
    }
}
