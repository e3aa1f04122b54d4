package io.kumquatmill.common.fleet

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
