package io.kumquatmill.standins.platform

import io.kumquatmill.store.StoreChange

/** Bounded log of the latest changes to all keys, in revision order; it retains at most [capacity] changes. */
internal class ChangeLog(
    private val capacity: Int,
) {
    private val changes = ArrayDeque<StoreChange>()
    private var lastDroppedRevision = 0L

    /** Appends [change] and drops the oldest change if the log exceeds its capacity. */
    fun append(change: StoreChange) {
        changes.addLast(change)
        if (changes.size > capacity) {
            lastDroppedRevision = changes.removeFirst().revision
        }
    }

    /** Returns whether the log still contains every change after [revision]. */
    fun containsAllAfter(revision: Long): Boolean = revision >= lastDroppedRevision

    /** Returns the retained changes after [revision] to keys that start with [prefix], in revision order. */
    fun changesAfter(
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
