package io.kumquatmill.membership.message

import io.kumquatmill.membership.record.RosterDocument
import kotlinx.serialization.Serializable

/** What the membership parts of two entry hosts say to each other. */
@Serializable
sealed interface MembershipMessage {
    /** Asks the receiver what it knows, and as a witness whether [epoch] is the highest it has heard of. */
    @Serializable
    data class StandingRequest(
        val nonce: Long,
        val epoch: Long,
        val configurationRevision: Long,
    ) : MembershipMessage

    /**
     * Answers the [StandingRequest] of the same [nonce].
     *
     * [vouchedEpoch] is the epoch asked about if the sender knows of no higher one. [roster] is what the sender has.
     */
    @Serializable
    data class StandingReply(
        val nonce: Long,
        val vouchedEpoch: Long?,
        val highestEpoch: Long,
        val roster: RosterVersion,
        val configurationRevision: Long,
        val storeWord: StoreWord?,
    ) : MembershipMessage

    /** Tells a witness of the epoch before that [epoch] is prepared. */
    @Serializable
    data class RosterNotice(
        val epoch: Long,
    ) : MembershipMessage

    /** Confirms that the sender will not vouch for an epoch below [epoch] any more. */
    @Serializable
    data class RosterAck(
        val epoch: Long,
    ) : MembershipMessage

    /** Asks for the receiver's roster if it is newer than [have]. */
    @Serializable
    data class RosterPull(
        val have: RosterVersion,
    ) : MembershipMessage

    /** Carries the sender's roster, which the store has had since [revision]. */
    @Serializable
    data class RosterPush(
        val document: RosterDocument,
        val revision: Long,
    ) : MembershipMessage
}

/** Says that [ageMs] ago no lists newer than [revision] were accepted by the store. */
@Serializable
data class StoreWord(
    val ageMs: Long,
    val revision: Long,
)

/** Order of rosters: by epoch, and within an epoch settled after prepared. */
@Serializable
data class RosterVersion(
    val epoch: Long,
    val isSettled: Boolean,
) : Comparable<RosterVersion> {
    override fun compareTo(other: RosterVersion): Int = compareValuesBy(this, other, { it.epoch }, { it.isSettled })

    companion object {
        /** Version of a host that has no roster. */
        val none = RosterVersion(epoch = 0, isSettled = false)
    }
}
