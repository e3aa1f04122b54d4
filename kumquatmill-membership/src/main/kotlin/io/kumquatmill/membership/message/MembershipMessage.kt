package io.kumquatmill.membership.message

import io.kumquatmill.membership.record.RosterDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Message between the membership agents of two entry hosts. */
@Serializable
sealed interface MembershipMessage {
    /** Polls the receiver for its state and, if it is a witness, for its vote for [epoch]. */
    @Serializable
    @SerialName("membership-ask")
    data class StandingRequest(
        val nonce: Long,
        val epoch: Long,
        @SerialName("configuration") val configurationRevision: Long,
    ) : MembershipMessage

    /**
     * Reply to the [StandingRequest] with the same [nonce].
     *
     * @property votedEpoch the requested epoch if the sender votes for it, or null if it knows a higher one or has not joined.
     * @property highestEpoch highest epoch that the sender knows.
     * @property roster version of the sender's roster.
     * @property configurationRevision revision of the sender's active configuration.
     * @property freshnessConfirmation the sender's latest confirmation of its configuration, or null if it has none younger than
     *   `freshnessMs`.
     * @property voteAgesMs ages of the votes that the sender holds for the requested epoch, in witness order and null where it
     *   holds none; empty if it holds none at all.
     */
    @Serializable
    @SerialName("membership-reply")
    data class StandingReply(
        val nonce: Long,
        @SerialName("vouched") val votedEpoch: Long? = null,
        @SerialName("highest") val highestEpoch: Long,
        val roster: RosterVersion,
        @SerialName("configuration") val configurationRevision: Long,
        @SerialName("word") val freshnessConfirmation: FreshnessConfirmation? = null,
        @SerialName("votes") val voteAgesMs: List<Long?> = emptyList(),
    ) : MembershipMessage

    /** Notifies a witness of the previous epoch that [epoch] is prepared. */
    @Serializable
    @SerialName("membership-notice")
    data class RosterNotice(
        val epoch: Long,
    ) : MembershipMessage

    /** Acknowledges that the sender no longer votes for epochs below [epoch]. */
    @Serializable
    @SerialName("membership-ack")
    data class RosterAck(
        val epoch: Long,
    ) : MembershipMessage

    /** Requests the receiver's roster if it is newer than [have]. */
    @Serializable
    @SerialName("membership-pull")
    data class RosterPull(
        val have: RosterVersion,
    ) : MembershipMessage

    /** Transfers the sender's roster, which was written to the store at [revision]. */
    @Serializable
    @SerialName("membership-push")
    data class RosterPush(
        val document: RosterDocument,
        val revision: Long,
    ) : MembershipMessage
}

/** Confirms that the store had accepted no configuration newer than [revision] as of [ageMs] ago. */
@Serializable
@SerialName("io.kumquatmill.membership.message.StoreWord")
data class FreshnessConfirmation(
    @SerialName("age") val ageMs: Long,
    val revision: Long,
)

/** Version of a roster, ordered by epoch and, within an epoch, settled after prepared. */
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
