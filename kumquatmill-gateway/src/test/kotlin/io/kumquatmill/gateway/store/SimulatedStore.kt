package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry

/**
 * Store of simulations: its entries, their history since [compactedRevision], and a copy from which it can come back. Revisions carry the era.
 */
internal class SimulatedStore {
    val entries = sortedMapOf<String, StoreEntry>()
    val history = ArrayList<StoreChange>()
    var number = 1L
    var era = 1L
    var compactedRevision = 0L
    private var copiedEntries = emptyMap<String, StoreEntry>()
    private var copiedNumber = 1L

    val revision
        get() = revisionIn(era, number)

    fun saveCopy() {
        copiedEntries = entries.toMap()
        copiedNumber = number
    }

    /** Returns the keys whose entries differ from those before the restore. */
    fun restore(): List<String> {
        val lost = (entries.keys + copiedEntries.keys).filter { entries[it]?.revision != copiedEntries[it]?.revision }
        era++
        number = copiedNumber
        entries.clear()
        copiedEntries.values.forEach { entries[it.key] = it.copy(revision = revisionIn(era, numberOf(it.revision))) }
        compact()
        return lost
    }

    fun write(
        key: String,
        value: String?,
    ) {
        number++
        if (value == null) entries.remove(key) else entries[key] = StoreEntry(key, value, revision)
        history += StoreChange(key, value, revision)
    }

    fun compact() {
        compactedRevision = revision
        history.clear()
    }

    /**
     * Returns the changes after the number of [afterRevision], as a store knows numbers only: the watch may go on from one that it gave out
     * again. Returns null if it does not have them.
     */
    fun changesAfter(afterRevision: Long): List<StoreChange>? {
        val after = numberOf(afterRevision)
        return if (after < numberOf(compactedRevision) || after > number) null else history.filter { numberOf(it.revision) > after }
    }
}
