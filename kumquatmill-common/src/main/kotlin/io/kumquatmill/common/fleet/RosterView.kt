package io.kumquatmill.common.fleet

/** Whether a change of the roster may be used in full. */
enum class RosterPhase {
    /** The change is announced; hosts spend the smaller of their old and new shares. */
    PREPARED,

    /** No host has standing under an earlier epoch any more; hosts spend their new shares. */
    SETTLED,
}

/**
 * The members of the fleet as of [epoch].
 *
 * [previousMembers] are those of the epoch before; they matter only while the phase is [RosterPhase.PREPARED].
 */
data class RosterView(
    val epoch: Long,
    val phase: RosterPhase,
    val members: List<Member>,
    val previousMembers: List<Member>,
)

/**
 * A host's right to spend its shares under [roster] until [validUntilMs] of its own monotonic clock.
 *
 * Without a roster the host is not a member yet and has no right at all.
 */
data class Standing(
    val roster: RosterView?,
    val validUntilMs: Long,
) {
    /** Returns whether the host may spend shares at [nowMs]. */
    fun isValid(nowMs: Long): Boolean = roster != null && nowMs < validUntilMs

    companion object {
        /** Standing of a host that has not joined. */
        val none: Standing = Standing(roster = null, validUntilMs = Long.MIN_VALUE)
    }
}
