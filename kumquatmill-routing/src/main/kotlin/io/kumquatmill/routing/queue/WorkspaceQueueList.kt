package io.kumquatmill.routing.queue

/** Doubly linked list of workspace queues in scheduling order. A queue is in at most one list; removal takes constant time. */
internal class WorkspaceQueueList {
    private var firstQueue: WorkspaceQueue? = null
    private var lastQueue: WorkspaceQueue? = null

    val isEmpty: Boolean
        get() = firstQueue == null

    fun firstOrNull(): WorkspaceQueue? = firstQueue

    fun addLast(queue: WorkspaceQueue) {
        queue.list = this
        queue.previous = lastQueue
        queue.next = null
        lastQueue?.next = queue
        lastQueue = queue
        if (firstQueue == null) firstQueue = queue
    }

    fun addFirst(queue: WorkspaceQueue) {
        queue.list = this
        queue.previous = null
        queue.next = firstQueue
        firstQueue?.previous = queue
        firstQueue = queue
        if (lastQueue == null) lastQueue = queue
    }

    fun remove(queue: WorkspaceQueue) {
        val previous = queue.previous
        val next = queue.next
        if (previous == null) firstQueue = next else previous.next = next
        if (next == null) lastQueue = previous else next.previous = previous
        queue.list = null
        queue.previous = null
        queue.next = null
    }
}
