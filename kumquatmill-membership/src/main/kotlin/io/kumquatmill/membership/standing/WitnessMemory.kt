package io.kumquatmill.membership.standing

/**
 * The highest roster epoch that this process has heard of, as a witness and as a member.
 *
 * It never vouches for a lower one, so that standing under an epoch ends once a majority of its witnesses know the next.
 */
internal open class WitnessMemory {
    var highestEpoch: Long = 0
        private set

    /** Notes that the roster of [epoch] exists. */
    fun hear(epoch: Long) {
        highestEpoch = maxOf(highestEpoch, epoch)
    }

    /** Returns whether no higher epoch than [epoch] is known. */
    open fun vouchesFor(epoch: Long): Boolean = epoch >= highestEpoch
}
