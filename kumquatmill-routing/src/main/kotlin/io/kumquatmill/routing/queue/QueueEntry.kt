package io.kumquatmill.routing.queue

/** A queued request, and a node of the doubly linked list of its [TimingWheel] slot. */
internal class QueueEntry(
    val request: QueuedRequest,
) {
    var wheelSlot: Int = 0
    var previousInSlot: QueueEntry? = null
    var nextInSlot: QueueEntry? = null
}
