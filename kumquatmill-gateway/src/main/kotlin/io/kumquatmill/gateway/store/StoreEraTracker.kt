package io.kumquatmill.gateway.store

/**
 * Follows the era of the store, a number that rises by one each time that the store comes back from an older copy.
 *
 * An era that is missing, malformed, negative or far above the known one is ignored, and the answer counts for the known era.
 */
internal class StoreEraTracker {
    /** Era of the latest answer, or null before the first answer that names one. */
    var era: Long? = null
        private set

    /** Returns the era of an answer whose header is [text], or null if the answer is from an earlier era than an answer before it. */
    fun onAnswer(text: String?): Long? {
        val known = era
        val stated = parse(text)
        val isPlausible = stated != null && (known == null || stated <= known + MAX_RISE)
        if (stated == null || !isPlausible) return known ?: NO_ERA
        if (known != null && stated < known) return null
        era = stated
        return stated
    }

    private fun parse(text: String?): Long? {
        val digits = text?.trim() ?: return null
        val isNumber = digits.length in 1..MAX_DIGITS && digits.all { it in '0'..'9' }
        return if (isNumber) digits.toLong().takeIf { it <= MAX_ERA } else null
    }

    companion object {
        /** Era of a store that names none. */
        const val NO_ERA = 0L

        /** Highest era that fits beside a revision. */
        const val MAX_ERA = (1L shl 14) - 1

        /** Restores that a host may miss while it does not reach the store. */
        const val MAX_RISE = 1_000L
        private const val MAX_DIGITS = 18
    }
}
