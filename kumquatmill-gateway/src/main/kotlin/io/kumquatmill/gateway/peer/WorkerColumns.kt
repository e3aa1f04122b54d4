package io.kumquatmill.gateway.peer

import io.kumquatmill.traffic.fleet.WorkerTag

/** Returns the column of tags of encoded workers. */
internal fun Map<WorkerTag, *>.tagColumn(): List<Int> = keys.map { it.value }

/** Returns the values of encoded workers by tag; [valueAt] returns that of the worker at an index of [tags]. */
internal inline fun <T> valuesByTag(
    tags: List<Int>,
    valueAt: (Int) -> T,
): Map<WorkerTag, T> = tags.indices.associate { WorkerTag(tags[it]) to valueAt(it) }

/** Throws [IllegalArgumentException] unless all [columns] are as long as [tags]. */
internal fun requireSameLength(
    tags: List<Int>,
    vararg columns: List<Int>,
) = require(columns.all { it.size == tags.size }) {
    "expected columns as long as that of ${tags.size} tags, found lengths ${columns.map { it.size }}"
}

/** Returns this time as a number of a column, which holds 32 bits. */
internal fun Long.toColumnNumber(): Int = coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
