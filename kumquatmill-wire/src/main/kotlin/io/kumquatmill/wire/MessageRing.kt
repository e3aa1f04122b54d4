package io.kumquatmill.wire

import io.kumquatmill.node.message.PeerEnvelope
import org.jctools.queues.MpmcArrayQueue

/** A message that waits for its connection since [queuedAtMs]. */
internal class QueuedMessage(
    val envelope: PeerEnvelope,
    val queuedAtMs: Long,
)

/** Bounded ring of the messages to one peer; a message that finds it full replaces the oldest. */
internal class MessageRing(
    capacity: Int,
    private val counters: PeerTransportCounters,
) {
    private val queue = MpmcArrayQueue<QueuedMessage>(maxOf(2, capacity))

    val isEmpty: Boolean
        get() = queue.isEmpty()

    val depth: Int
        get() = queue.size

    fun offer(message: QueuedMessage) {
        while (!queue.offer(message)) {
            if (queue.poll() != null) counters.dropped.increment()
        }
    }

    /** Returns the oldest message that was queued at [notBeforeMs] or later. */
    fun poll(notBeforeMs: Long): QueuedMessage? {
        while (true) {
            val message = queue.poll() ?: return null
            if (message.queuedAtMs >= notBeforeMs) return message
            counters.dropped.increment()
        }
    }
}
