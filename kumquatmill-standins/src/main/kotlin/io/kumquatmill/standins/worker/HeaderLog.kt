package io.kumquatmill.standins.worker

import java.util.concurrent.ConcurrentHashMap

/** Thread-safe log of all request headers and targets received by the workers of one process, to search for leaked keys. */
class HeaderLog {
    private val valuesByName = ConcurrentHashMap<String, MutableSet<String>>()

    /** Records [value] for the header [name]; names are case-insensitive. */
    fun record(
        name: String,
        value: String,
    ) {
        valuesByName.computeIfAbsent(name.lowercase()) { ConcurrentHashMap.newKeySet() }.add(value)
    }

    /** Returns the lowercase names of the recorded headers. */
    fun names(): Set<String> = valuesByName.keys.toSortedSet()

    /** Returns the lowercase names of the headers with a value that contains [text]. */
    fun namesContaining(text: String): Set<String> =
        valuesByName
            .filterValues { values -> values.any { text in it } }
            .keys
            .toSortedSet()
}
