package io.kumquatmill.node

import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.store.StoreCall

/** Numbers the calls of the key-value service and remembers when each was sent. */
internal class StoreCalls {
    private val sentAtMs = HashMap<Long, Long>()
    private var lastId = 0L

    fun send(
        nowMs: Long,
        call: StoreCall,
    ): NodeEffect {
        lastId += 1
        sentAtMs[lastId] = nowMs
        return NodeEffect.CallStore(lastId, call)
    }

    /** Ends the call [id]; returns when it was sent, or null if it is not open. */
    fun end(id: Long): Long? = sentAtMs.remove(id)
}
