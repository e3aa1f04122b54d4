package io.kumquatmill.daemon.platform

import arrow.core.Either
import arrow.core.left
import io.kumquatmill.daemon.decision.BoundedExecutor
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

private const val LEASE_THREADS = 1
private const val CALL_THREADS = 2
private const val WATCH_THREADS = 8
private const val QUEUE_CAPACITY = 64

/**
 * Executes the node's store calls.
 *
 * Lease calls, watches and other calls use separate threads, so that a long-polling watch or a slow read never delays a lease
 * renewal.
 */
internal class StoreCallExecutor(
    private val client: StoreClient,
    private val onCallEnded: (NodeEvent.StoreCallEnded) -> Unit,
) : AutoCloseable {
    private val leaseExecutor = BoundedExecutor("store-leases", LEASE_THREADS, QUEUE_CAPACITY)
    private val callExecutor = BoundedExecutor("store-calls", CALL_THREADS, QUEUE_CAPACITY)
    private val watchExecutor = BoundedExecutor("store-watches", WATCH_THREADS, QUEUE_CAPACITY)

    /** Number of calls that wait for a thread, by queue name. */
    val queueDepths: Map<String, Int>
        get() =
            mapOf(
                "store-leases" to leaseExecutor.queuedTasks,
                "store-calls" to callExecutor.queuedTasks,
                "store-watches" to watchExecutor.queuedTasks,
            )

    /** Number of calls rejected since the start because their queue was full. */
    val rejectedCalls: Long
        get() = leaseExecutor.rejectedTasks + callExecutor.rejectedTasks + watchExecutor.rejectedTasks

    /** Queues the call of [effect] and reports its result. If the queue is full, reports [StoreError.Unavailable] at once. */
    fun execute(effect: NodeEffect.CallStore) {
        val isAccepted = executorFor(effect.call).submit { complete(effect, execute(effect.call)) }
        if (!isAccepted) complete(effect, StoreError.Unavailable("the store call queue is full").left())
    }

    override fun close() = listOf(leaseExecutor, callExecutor, watchExecutor).forEach { it.close() }

    private fun execute(call: StoreCall) =
        Either
            .catch { client.execute(call) }
            .fold({ StoreError.Unknown(it.message ?: it.javaClass.simpleName).left() }, { it })

    private fun complete(
        effect: NodeEffect.CallStore,
        result: Either<StoreError, StoreReply>,
    ) = onCallEnded(NodeEvent.StoreCallEnded(effect.callId, effect.call, result))

    private fun executorFor(call: StoreCall): BoundedExecutor =
        when (call) {
            is StoreCall.GrantLease, is StoreCall.RenewLease -> leaseExecutor
            is StoreCall.Watch -> watchExecutor
            else -> callExecutor
        }
}
