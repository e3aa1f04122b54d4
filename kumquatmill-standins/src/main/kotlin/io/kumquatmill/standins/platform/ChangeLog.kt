package io.kumquatmill.standins.platform

import io.kumquatmill.store.StoreChange

/** The latest changes of all keys, in order, at most [capacity] of them. */
internal class ChangeLog(
    private val capacity: Int,
) {
    private val changes = ArrayDeque<StoreChange>()
    private var droppedUpTo = 0L

    /** Appends [change], and drops the oldest change when the log is full. */
    fun append(change: StoreChange) {
        changes.addLast(change)
        if (changes.size > capacity) {
            droppedUpTo = changes.removeFirst().revision
        }
    }

    /** Returns whether all changes after [revision] are still in the log. */
    fun covers(revision: Long): Boolean = revision >= droppedUpTo

    /** Returns the changes under [prefix] after [revision]. */
    fun after(
        prefix: String,
        revision: Long,
    ): List<StoreChange> =
        changes
            .asReversed()
            .asSequence()
            .takeWhile { it.revision > revision }
            .filter { it.key.startsWith(prefix) }
            .toList()
            .asReversed()
}
