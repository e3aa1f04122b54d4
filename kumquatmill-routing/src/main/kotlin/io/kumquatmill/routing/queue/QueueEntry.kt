package io.kumquatmill.routing.queue

/** A queued request and its place in the list of a [DeadlineWheel] slot. */
internal class QueueEntry(
    val request: QueuedRequest,
) {
    var wheelSlot: Int = 0
    var previousInSlot: QueueEntry? = null
    var nextInSlot: QueueEntry? = null
}
