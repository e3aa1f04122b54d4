package io.kumquatmill.daemon.platform

import arrow.core.Either
import arrow.core.left
import io.kumquatmill.daemon.decision.DutyPool
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

private const val LEASE_THREADS = 1
private const val CALL_THREADS = 2
private const val WATCH_THREADS = 8
private const val RING_CAPACITY = 64

/**
 * Executes the node's store calls.
 *
 * Leases, watches and other calls have threads of their own, so that a waiting watch or a slow read never holds up a renewal.
 */
internal class StoreDuty(
    private val client: StoreClient,
    private val onEnd: (NodeEvent.StoreCallEnded) -> Unit,
) : AutoCloseable {
    private val leases = DutyPool("store-leases", LEASE_THREADS, RING_CAPACITY)
    private val calls = DutyPool("store-calls", CALL_THREADS, RING_CAPACITY)
    private val watches = DutyPool("store-watches", WATCH_THREADS, RING_CAPACITY)

    /** Calls that wait for a thread, by duty. */
    val depths: Map<String, Int>
        get() = mapOf("store-leases" to leases.depth, "store-calls" to calls.depth, "store-watches" to watches.depth)

    /** Calls that found their ring full. */
    val refused: Long
        get() = leases.refused + calls.refused + watches.refused

    /** Executes [effect] on a thread of its kind and reports its end; a full ring ends it at once. */
    fun execute(effect: NodeEffect.CallStore) {
        val isTaken = poolFor(effect.call).submit { end(effect, execute(effect.call)) }
        if (!isTaken) end(effect, StoreError.Unavailable("the ring of store calls is full").left())
    }

    override fun close() = listOf(leases, calls, watches).forEach { it.close() }

    private fun execute(call: StoreCall) =
        Either
            .catch { client.execute(call) }
            .fold({ StoreError.Unknown(it.message ?: it.javaClass.simpleName).left() }, { it })

    private fun end(
        effect: NodeEffect.CallStore,
        result: Either<StoreError, StoreReply>,
    ) = onEnd(NodeEvent.StoreCallEnded(effect.callId, effect.call, result))

    private fun poolFor(call: StoreCall): DutyPool =
        when (call) {
            is StoreCall.GrantLease, is StoreCall.RenewLease -> leases
            is StoreCall.Watch -> watches
            else -> calls
        }
}
