package io.kumquatmill.node

import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.store.StoreCall

/** Assigns IDs to calls to the key-value store and tracks when each pending call was sent. */
internal class PendingStoreCalls {
    private val sentAtMsByCallId = HashMap<Long, Long>()
    private var lastCallId = 0L

    fun start(
        nowMs: Long,
        call: StoreCall,
    ): NodeEffect {
        lastCallId += 1
        sentAtMsByCallId[lastCallId] = nowMs
        return NodeEffect.CallStore(lastCallId, call)
    }

    /** Completes call [id]. Returns the time at which it was sent, or null if it is not pending. */
    fun complete(id: Long): Long? = sentAtMsByCallId.remove(id)
}
