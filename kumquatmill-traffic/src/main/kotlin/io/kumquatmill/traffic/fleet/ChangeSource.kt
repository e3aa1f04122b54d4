package io.kumquatmill.traffic.fleet

/**
 * Decides from where this host gets the changes of the store.
 *
 * In a large fleet, one host of each availability zone watches the store, its reader, and the others of the zone ask it. Each host ranks
 * the hosts of its zone itself, so nothing has to be agreed on: hosts that see different readers make a few more calls.
 */
class ChangeSource(
    private val fleet: FleetView,
    private val settings: FleetSettings = FleetSettings(),
) {
    private var storeUntilMs: Long? = null
    private var unusableHost: String? = null
    private var unusableUntilMs = 0L

    /** Whether the fleet is so large that hosts ask each other for changes. */
    val isShared: Boolean
        get() = fleet.size() > settings.sharedWatchMinHosts

    /**
     * Returns the peer to ask for changes, or null if this host asks the store itself.
     *
     * @param isServing whether this host serves and may be the reader of its zone
     */
    fun reader(
        nowMs: Long,
        isServing: Boolean,
    ): PeerReport? {
        if (!isShared || isAskingStore(nowMs)) return null
        return firstPeer(nowMs).takeUnless { isReader(nowMs, isServing) }
    }

    /** Records that the peer [host] did not answer, or too late: for a while, this host asks the store itself, and then another peer. */
    fun onUnusable(
        nowMs: Long,
        host: String,
    ) {
        storeUntilMs = nowMs + settings.readerRetryMs
        unusableHost = host
        unusableUntilMs = nowMs + settings.readerExclusionMs
    }

    /** Returns whether this host is the reader of its availability zone; [isServing] as in [reader]. */
    fun isReader(
        nowMs: Long,
        isServing: Boolean,
    ): Boolean = isShared && isServing && firstPeer(nowMs)?.let { rank.compare(fleet.self, it.sender) < 0 } ?: false

    /** Returns the longest wait in milliseconds of a watch of the store, or null if it is not limited. */
    fun watchMs(
        nowMs: Long,
        isServing: Boolean,
    ): Long? = settings.readerWatchMs.takeIf { isReader(nowMs, isServing) }

    private fun isAskingStore(nowMs: Long) = storeUntilMs?.let { nowMs < it } == true

    /** Returns the time in milliseconds for which changes are collected before this host asks for them again. */
    fun batchMs(
        nowMs: Long,
        isServing: Boolean,
    ): Long =
        when {
            isReader(nowMs, isServing) -> settings.readerBatchMs
            reader(nowMs, isServing) != null -> settings.readerPollMs
            else -> fleet.changeBatchMs()
        }

    private fun firstPeer(nowMs: Long): PeerReport? =
        fleet
            .freshReports(nowMs)
            .filter { it.isServing && it.availabilityZone == fleet.self.availabilityZone }
            .filterNot { it.host == unusableHost && nowMs < unusableUntilMs }
            .minWithOrNull(compareBy(rank) { it.sender })

    private companion object {
        /** The reader encodes changes for its zone, so the host with most processor capacity comes first. */
        val rank = compareByDescending<EntryHostInfo> { it.cores ?: 0.0 }.thenBy { it.host }
    }
}
