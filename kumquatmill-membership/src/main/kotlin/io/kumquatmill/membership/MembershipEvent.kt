package io.kumquatmill.membership

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.Incarnation

/** Membership event that is logged for operators. */
sealed interface MembershipEvent {
    /** Text of the log line. */
    val message: String

    /** The host has adopted a newer roster. */
    data class RosterAdopted(
        val epoch: Long,
        val phase: RosterPhase,
        val memberCount: Int,
    ) : MembershipEvent {
        override val message: String = "roster epoch $epoch is $phase with $memberCount members"
    }

    /** The host has taken a new incarnation, because it started or was evicted. */
    data class IncarnationChanged(
        val incarnation: Incarnation,
    ) : MembershipEvent {
        override val message: String = "this host has started or was evicted and continues as incarnation $incarnation"
    }

    /** A document in the store cannot be decoded and is ignored. */
    data class DocumentIgnored(
        val key: String,
        val revision: Long,
    ) : MembershipEvent {
        override val message: String =
            "entry '$key' of revision $revision cannot be decoded and is ignored: delete it or run the same release on all hosts"
    }
}
