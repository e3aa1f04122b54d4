package io.kumquatmill.common.hash

import net.openhft.hashing.LongHashFunction

private val hashFunction = LongHashFunction.xx3()

/** Returns a 64-bit hash of [text] that is the same on every host and in every run. */
fun stableHash(text: String): Long = hashFunction.hashChars(text)

/** Returns a 64-bit hash of the pair of hashes [first] and [second]. */
fun combineHashes(
    first: Long,
    second: Long,
): Long = hashFunction.hashLongs(longArrayOf(first, second))

/**
 * Orders [candidates] for [key] by rendezvous hashing, the best first.
 *
 * When a candidate joins or leaves, only the keys that it wins or won move.
 * [nameOf] gives the stable name of a candidate.
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
