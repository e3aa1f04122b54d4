package io.kumquatmill.wire

import io.kumquatmill.node.message.PeerEnvelope
import org.jctools.queues.MpmcArrayQueue

/** Message that was queued at [queuedAtMs]. */
internal class QueuedMessage(
    val envelope: PeerEnvelope,
    val queuedAtMs: Long,
)

/** Bounded queue of the messages to one peer; when it is full, a new message replaces the oldest one. */
internal class OutboundMessageQueue(
    capacity: Int,
    private val counters: PeerTransportCounters,
) {
    private val queue = MpmcArrayQueue<QueuedMessage>(maxOf(2, capacity))

    val isEmpty: Boolean
        get() = queue.isEmpty()

    val size: Int
        get() = queue.size

    /** Appends [message], dropping the oldest messages if the queue is full. */
    fun offer(message: QueuedMessage) {
        while (!queue.offer(message)) {
            if (queue.poll() != null) counters.dropped.increment()
        }
    }

    /** Returns the oldest message that was queued at [notBeforeMs] or later, or null if there is none; drops older messages. */
    fun poll(notBeforeMs: Long): QueuedMessage? {
        while (true) {
            val message = queue.poll() ?: return null
            if (message.queuedAtMs >= notBeforeMs) return message
            counters.dropped.increment()
        }
    }
}
