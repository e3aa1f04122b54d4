package io.kumquatmill.membership.message

import io.kumquatmill.membership.record.RosterDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the membership parts of two entry hosts say to each other. */
@Serializable
sealed interface MembershipMessage {
    /** Asks the receiver what it knows, and as a witness whether [epoch] is the highest it has heard of. */
    @Serializable
    @SerialName("membership-ask")
    data class StandingRequest(
        val nonce: Long,
        val epoch: Long,
        @SerialName("configuration") val configurationRevision: Long,
    ) : MembershipMessage

    /**
     * Answers the [StandingRequest] of the same [nonce].
     *
     * [vouchedEpoch] is the epoch asked about if the sender knows of no higher one. [roster] is what the sender has.
     * [voteAgesMs] are the ages of the votes that the witnesses of the epoch asked about gave the sender, in their order.
     */
    @Serializable
    @SerialName("membership-reply")
    data class StandingReply(
        val nonce: Long,
        @SerialName("vouched") val vouchedEpoch: Long? = null,
        @SerialName("highest") val highestEpoch: Long,
        val roster: RosterVersion,
        @SerialName("configuration") val configurationRevision: Long,
        @SerialName("word") val storeWord: StoreWord? = null,
        @SerialName("votes") val voteAgesMs: List<Long?> = emptyList(),
    ) : MembershipMessage

    /** Tells a witness of the epoch before that [epoch] is prepared. */
    @Serializable
    @SerialName("membership-notice")
    data class RosterNotice(
        val epoch: Long,
    ) : MembershipMessage

    /** Confirms that the sender will not vouch for an epoch below [epoch] any more. */
    @Serializable
    @SerialName("membership-ack")
    data class RosterAck(
        val epoch: Long,
    ) : MembershipMessage

    /** Asks for the receiver's roster if it is newer than [have]. */
    @Serializable
    @SerialName("membership-pull")
    data class RosterPull(
        val have: RosterVersion,
    ) : MembershipMessage

    /** Carries the sender's roster, which the store has had since [revision]. */
    @Serializable
    @SerialName("membership-push")
    data class RosterPush(
        val document: RosterDocument,
        val revision: Long,
    ) : MembershipMessage
}

/** Says that [ageMs] ago no lists newer than [revision] were accepted by the store. */
@Serializable
data class StoreWord(
    @SerialName("age") val ageMs: Long,
    val revision: Long,
)

/** Order of rosters: by epoch, and within an epoch settled after prepared. */
@Serializable
data class RosterVersion(
    val epoch: Long,
    @SerialName("settled") val isSettled: Boolean,
) : Comparable<RosterVersion> {
    override fun compareTo(other: RosterVersion): Int = compareValuesBy(this, other, { it.epoch }, { it.isSettled })

    companion object {
        /** Version of a host that has no roster. */
        val none = RosterVersion(epoch = 0, isSettled = false)
    }
}
