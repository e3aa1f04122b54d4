package io.kumquatmill.limits.ledger

/** Parts of a token in messages. */
internal const val MICRO = 1_000_000.0

/** Returns [tokens] in millionths, rounded down so that a transfer never makes any. */
internal fun microTokens(tokens: Double): Long = (tokens * MICRO).toLong()
