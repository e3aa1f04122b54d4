package io.kumquatmill.limits.ledger

/** Resolution of token counts in messages. */
internal const val MICRO_TOKENS_PER_TOKEN = 1_000_000.0

/** Converts [tokens] to micro-tokens, rounded down so that a transfer never creates tokens. */
internal fun toMicroTokens(tokens: Double): Long = (tokens * MICRO_TOKENS_PER_TOKEN).toLong()
