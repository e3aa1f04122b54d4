package io.kumquatmill.gateway.peer

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Hands messages over from the thread of the [PeerSocket] to the event loop, which takes all that have arrived in one task. In a large
 * fleet, reports arrive in bursts, and each task of its own would wake the event loop once.
 *
 * When the inbox is full, messages are dropped as if they were lost on the network.
 *
 * @param execute runs a task on the event loop
 * @param onMessage called on the event loop with each message, in order
 */
class PeerInbox(
    private val execute: (task: () -> Unit) -> Unit,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val messages = ArrayBlockingQueue<PeerMessage>(CAPACITY)
    private val isScheduled = AtomicBoolean(false)

    /** Adds [message]; may be called on any thread. */
    fun add(message: PeerMessage) {
        messages.offer(message)
        schedule()
    }

    private fun schedule() {
        if (isScheduled.compareAndSet(false, true)) execute(::deliver)
    }

    private fun deliver() {
        // Cleared first: a message that is added from here on schedules the next task.
        isScheduled.set(false)
        try {
            // What arrives from here on is left to the next task: the event loop has to serve callers in between.
            repeat(messages.size) { onMessage(messages.poll() ?: return) }
        } finally {
            // An unexpected error in one message must not hold up the others.
            if (messages.isNotEmpty()) schedule()
        }
    }

    private companion object {
        /** Reports of 1,000 hosts and as many loans; a report takes about a kilobyte. */
        const val CAPACITY = 2_048
    }
}
