package io.kumquatmill.membership.standing

/**
 * Tracks the highest roster epoch that this process has seen, as a witness or as a member.
 *
 * A witness never votes for a lower epoch, so standing under an epoch ends once a majority of its witnesses know the next one.
 */
internal open class EpochTracker {
    var highestEpoch: Long = 0
        private set

    /** Records that the roster of [epoch] exists. */
    fun observe(epoch: Long) {
        highestEpoch = maxOf(highestEpoch, epoch)
    }

    /** Returns whether this process, as a witness, votes for [epoch]: it must not know a higher one. */
    open fun votesFor(epoch: Long): Boolean = epoch >= highestEpoch
}
