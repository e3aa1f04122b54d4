package io.kumquatmill.membership.freshness

import io.kumquatmill.membership.IsolationPolicy
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.message.FreshnessConfirmation

/**
 * Decides whether this host's active configuration is recent enough to authorize requests.
 *
 * A confirmation that no newer configuration exists comes from the store, from a peer, or from standing in the store's region.
 *
 * @param isInStoreRegion whether this host runs in the store's region.
 * @param activeRevision returns the revision of the active configuration, or [NO_CONFIGURATION] if there is none.
 * @param hasStanding returns whether this host has standing.
 * @param isStoreRegionGone returns whether the platform's host list shows that all members in the store's region are gone.
 */
internal class ConfigurationFreshness(
    private val settings: MembershipSettings,
    private val isInStoreRegion: Boolean,
    private val activeRevision: () -> Long,
    private val hasStanding: (nowMs: Long) -> Boolean,
    private val isStoreRegionGone: (nowMs: Long) -> Boolean,
) {
    private var confirmedAtMs: Long? = null
    private var highestPeerRevision = 0L

    /** Records that the store, in reply to a call sent at [sentAtMs], has returned every newer configuration. */
    fun onStoreConfirmation(sentAtMs: Long) = confirm(sentAtMs)

    /** Records that a peer's active configuration has [revision]. */
    fun onPeerRevision(revision: Long) {
        highestPeerRevision = maxOf(highestPeerRevision, revision)
    }

    /** Accepts [confirmation], a peer's reply to a request sent at [sentAtMs], if the active configuration is at least as new. */
    fun onPeerConfirmation(
        sentAtMs: Long,
        confirmation: FreshnessConfirmation,
    ) {
        if (activeRevision() >= confirmation.revision) confirm(sentAtMs - confirmation.ageMs)
    }

    /** Returns the latest confirmation to forward to a peer, or null if there is none younger than `freshnessMs`. */
    fun confirmationToForward(nowMs: Long): FreshnessConfirmation? {
        confirmByStanding(nowMs)
        val ageMs = nowMs - (confirmedAtMs ?: return null)
        return if (ageMs < settings.freshnessMs) FreshnessConfirmation(ageMs, activeRevision()) else null
    }

    /** Returns whether routes that need a key may be served. */
    fun isFresh(nowMs: Long): Boolean =
        when {
            activeRevision() == NO_CONFIGURATION -> false
            settings.isolationPolicy == IsolationPolicy.SERVE -> true
            hasRecentConfirmation(nowMs) -> true
            else -> isStoreRegionGone(nowMs) && isAsNewAsPeers() && hasStanding(nowMs)
        }

    private fun hasRecentConfirmation(nowMs: Long): Boolean {
        confirmByStanding(nowMs)
        return confirmedAtMs?.let { nowMs - it < settings.freshnessMs } ?: false
    }

    /**
     * Treats standing as a confirmation in the store's region, because members there receive every configuration change.
     *
     * A host that was paused or partitioned must first catch up with the configuration of its peers.
     */
    private fun confirmByStanding(nowMs: Long) {
        if (isInStoreRegion && isAsNewAsPeers() && hasStanding(nowMs)) confirm(nowMs)
    }

    private fun isAsNewAsPeers(): Boolean = activeRevision() >= highestPeerRevision

    private fun confirm(atMs: Long) {
        confirmedAtMs = maxOf(atMs, confirmedAtMs ?: atMs)
    }

    private companion object {
        const val NO_CONFIGURATION = 0L
    }
}
