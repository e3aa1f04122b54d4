package io.kumquatmill.routing.queue

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId

/** The waiting requests of one workspace in order of arrival, its scheduling credit, and its links in a [WorkspaceQueueList]. */
internal class WorkspaceQueue(
    val workspace: WorkspaceId,
) {
    private val entries = LinkedHashMap<RequestId, QueueEntry>()
    var weight: Int = 1
        private set
    var credit: Double = 0.0
    var emptiedAtVirtualTime: Double = 0.0
    var list: WorkspaceQueueList? = null
    var previous: WorkspaceQueue? = null
    var next: WorkspaceQueue? = null

    val size: Int
        get() = entries.size

    val isEmpty: Boolean
        get() = entries.isEmpty()

    fun head(): QueueEntry = entries.values.iterator().next()

    fun add(entry: QueueEntry) {
        entries[entry.request.id] = entry
        weight = entry.request.weight
    }

    fun remove(entry: QueueEntry) {
        entries.remove(entry.request.id)
    }
}
