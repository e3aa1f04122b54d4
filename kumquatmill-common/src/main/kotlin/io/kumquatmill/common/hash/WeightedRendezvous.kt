package io.kumquatmill.common.hash

import kotlin.math.ln
import kotlin.math.max

private const val HASH_SHIFT = 11
private const val HASH_RANGE = 9.007199254740992E15

/** Maps [hash] to a number from 0 to below 1. */
fun toUnitInterval(hash: Long): Double = (hash ushr HASH_SHIFT) / HASH_RANGE

/**
 * Returns the score of weighted rendezvous hashing of an item for a key: each item has the highest score for a fraction of the keys in
 * proportion to its [weight].
 */
fun weightedRendezvousScore(
    keyHash: Long,
    itemHash: Long,
    weight: Double,
): Double = -weight / ln(max(toUnitInterval(combineHashes(keyHash, itemHash)), Double.MIN_VALUE))
