package io.kumquatmill.membership.freshness

import io.kumquatmill.membership.IsolationPolicy
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.message.StoreWord

/**
 * Whether the lists in force here may be trusted to be the newest that the store has accepted.
 *
 * [hasStanding], [isInStoreRegion] and [isStoreRegionGone] tell of this host and the fleet.
 */
internal class ConfigurationFreshness(
    private val settings: MembershipSettings,
    private val isInStoreRegion: Boolean,
    private val revisionInForce: () -> Long,
    private val hasStanding: (nowMs: Long) -> Boolean,
    private val isStoreRegionGone: (nowMs: Long) -> Boolean,
) {
    private var wordMs: Long? = null
    private var highestPeerRevision = 0L

    /** Notes that the store, asked at [sentAtMs], has answered with all newer lists. */
    fun onStoreAnswer(sentAtMs: Long) = confirm(sentAtMs)

    /** Notes that a peer has the lists of [revision] in force. */
    fun onPeerRevision(revision: Long) {
        highestPeerRevision = maxOf(highestPeerRevision, revision)
    }

    /** Takes [word], which answers a question sent at [sentAtMs], if the lists in force here are as new as it says. */
    fun onWord(
        sentAtMs: Long,
        word: StoreWord,
    ) {
        if (revisionInForce() >= word.revision) confirm(sentAtMs - word.ageMs)
    }

    /** Returns the word to pass on to a peer, or null if there is none that is still fresh. */
    fun wordToPass(nowMs: Long): StoreWord? {
        confirmByStanding(nowMs)
        val ageMs = nowMs - (wordMs ?: return null)
        return if (ageMs < settings.freshnessMs) StoreWord(ageMs, revisionInForce()) else null
    }

    /** Returns whether routes that need a key may be served. */
    fun isFresh(nowMs: Long): Boolean =
        when {
            revisionInForce() == NO_LISTS -> false
            settings.isolationPolicy == IsolationPolicy.SERVE -> true
            hasFreshWord(nowMs) -> true
            else -> isStoreRegionGone(nowMs) && hasListsOfPeers() && hasStanding(nowMs)
        }

    private fun hasFreshWord(nowMs: Long): Boolean {
        confirmByStanding(nowMs)
        return wordMs?.let { nowMs - it < settings.freshnessMs } ?: false
    }

    /**
     * Members next to the store learn of every edit, so their standing is word of the configuration.
     *
     * One that was frozen or cut off first has to take what its peers have.
     */
    private fun confirmByStanding(nowMs: Long) {
        if (isInStoreRegion && hasListsOfPeers() && hasStanding(nowMs)) confirm(nowMs)
    }

    private fun hasListsOfPeers(): Boolean = revisionInForce() >= highestPeerRevision

    private fun confirm(atMs: Long) {
        wordMs = maxOf(atMs, wordMs ?: atMs)
    }

    private companion object {
        const val NO_LISTS = 0L
    }
}
