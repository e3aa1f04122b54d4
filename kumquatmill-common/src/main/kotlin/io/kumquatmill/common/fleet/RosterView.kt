package io.kumquatmill.common.fleet

/**
 * The members of the fleet as of [epoch].
 *
 * [previousMembers] are the members of the previous epoch; they are relevant only while the phase is [RosterPhase.PREPARED].
 */
data class RosterView(
    val epoch: Long,
    val phase: RosterPhase,
    val members: List<Member>,
    val previousMembers: List<Member>,
)
