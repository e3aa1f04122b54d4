package io.kumquatmill.common.fleet

/**
 * Time-limited permission of a host to use its shares of the limits under [roster].
 *
 * It expires at [validUntilMs] of the host's own monotonic clock. [roster] is null while the host is not a member; it then
 * has no permission.
 */
data class Standing(
    val roster: RosterView?,
    val validUntilMs: Long,
) {
    /** Returns whether the host may use its shares at [nowMs]. */
    fun isValid(nowMs: Long): Boolean = roster != null && nowMs < validUntilMs

    companion object {
        /** Standing of a host that is not a member. */
        val none: Standing = Standing(roster = null, validUntilMs = Long.MIN_VALUE)
    }
}
