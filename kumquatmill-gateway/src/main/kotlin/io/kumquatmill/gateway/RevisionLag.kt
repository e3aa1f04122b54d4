package io.kumquatmill.gateway

/**
 * Detects that this host no longer receives changes that its peers have.
 *
 * Changes reach the hosts at slightly different times, so that some peer is ahead most of the time while many changes are made. A host
 * lags only if it still lacks a revision some time after a peer was first seen to have it.
 *
 * @param afterMs returns that time in milliseconds
 */
internal class RevisionLag(
    private val afterMs: () -> Long,
) {
    private var missingRevision = 0L
    private var missingSinceMs = 0L

    /** Returns whether this host, which has [ownRevision] at [nowMs] while the newest peer has [newestRevision], lags behind its peers. */
    fun isLagging(
        nowMs: Long,
        ownRevision: Long,
        newestRevision: Long,
    ): Boolean {
        if (ownRevision >= missingRevision) {
            missingRevision = newestRevision
            missingSinceMs = nowMs
        }
        return ownRevision < missingRevision && nowMs - missingSinceMs >= afterMs()
    }
}
