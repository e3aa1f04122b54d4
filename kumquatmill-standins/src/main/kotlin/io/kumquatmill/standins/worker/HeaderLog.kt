package io.kumquatmill.standins.worker

import java.util.concurrent.ConcurrentHashMap

/** Names and values of all headers and targets that reached the workers of one process, to search them for keys. */
class HeaderLog {
    private val valuesByName = ConcurrentHashMap<String, MutableSet<String>>()

    /** Records that a header called [name] had [value]. */
    fun record(
        name: String,
        value: String,
    ) {
        valuesByName.computeIfAbsent(name.lowercase()) { ConcurrentHashMap.newKeySet() }.add(value)
    }

    /** Returns the names of the headers seen so far. */
    fun names(): Set<String> = valuesByName.keys.toSortedSet()

    /** Returns the names of the headers that had [text] in their value. */
    fun namesWith(text: String): Set<String> =
        valuesByName
            .filterValues { values -> values.any { text in it } }
            .keys
            .toSortedSet()
}
