package io.kumquatmill.membership.freshness

import io.kumquatmill.membership.message.StoreWord

/** Remembers the newest word that the lists in force here are the newest that the store has accepted. */
internal class ConfigurationFreshness {
    /** Time of the newest word by this host's clock, or null if there was none. */
    var wordMs: Long? = null
        private set

    /** Notes that the store or a source next to it confirmed the lists in force at [atMs]. */
    fun confirm(atMs: Long) {
        wordMs = maxOf(atMs, wordMs ?: atMs)
    }

    /** Takes [word], which answers a question sent at [sentAtMs], if the lists in force here are as new as it says. */
    fun onWord(
        sentAtMs: Long,
        word: StoreWord,
        revisionInForce: Long,
    ) {
        if (revisionInForce >= word.revision) confirm(sentAtMs - word.ageMs)
    }

    /** Returns the word to pass on to a peer, or null if there is none younger than [maxAgeMs]. */
    fun wordToPass(
        nowMs: Long,
        maxAgeMs: Long,
        revisionInForce: Long,
    ): StoreWord? {
        val ageMs = nowMs - (wordMs ?: return null)
        return if (ageMs < maxAgeMs) StoreWord(ageMs, revisionInForce) else null
    }
}
