package io.kumquatmill.common.hash

import net.openhft.hashing.LongHashFunction

private val hashFunction = LongHashFunction.xx3()

/** Returns a 64-bit hash of [text] that is the same on all hosts and across restarts. */
fun stableHash(text: String): Long = hashFunction.hashChars(text)

/** Returns a 64-bit hash of [bytes] that is the same on all hosts and across restarts. */
fun stableHash(bytes: ByteArray): Long = hashFunction.hashBytes(bytes)

/** Combines the hashes [first] and [second] into one 64-bit hash. The order of the arguments matters. */
fun combineHashes(
    first: Long,
    second: Long,
): Long = hashFunction.hashLongs(longArrayOf(first, second))

/**
 * Orders [candidates] for [key] by rendezvous hashing, highest score first.
 *
 * When a candidate is added or removed, the relative order of the others does not change: only the keys whose first choice
 * it becomes or was are reassigned.
 * [nameOf] returns the stable name of a candidate.
 */
fun <T> rendezvousOrder(
    key: String,
    candidates: Collection<T>,
    nameOf: (T) -> String,
): List<T> {
    val keyHash = stableHash(key)
    return candidates
        .map { candidate -> candidate to combineHashes(keyHash, stableHash(nameOf(candidate))) }
        .sortedWith(compareByDescending<Pair<T, Long>> { it.second }.thenBy { nameOf(it.first) })
        .map { it.first }
}
