package io.kumquatmill.gateway.caller

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.ratelimit.LoanGrant
import kotlin.math.max

/** Requests that wait for rate tokens of a peer, by workspace; the longest waiting one is resumed first. */
class LoanWaiters {
    private val waiters = HashMap<WorkspaceId, ArrayDeque<() -> Unit>>()

    /** Calls [resume] once when tokens of [workspace] arrive or a peer has none, unless it is removed before. */
    fun add(
        workspace: WorkspaceId,
        resume: () -> Unit,
    ) = waiters.getOrPut(workspace) { ArrayDeque() }.addLast(resume)

    /** Removes a waiter of [workspace] that was added with [resume]. */
    fun remove(
        workspace: WorkspaceId,
        resume: () -> Unit,
    ) {
        val ofWorkspace = waiters[workspace] ?: return
        ofWorkspace.remove(resume)
        if (ofWorkspace.isEmpty()) waiters.remove(workspace)
    }

    /** Resumes a waiter for each token of [grant]; if it has none, the waiter that has waited longest, which can ask another peer. */
    fun onGrant(grant: LoanGrant) {
        val workspace = WorkspaceId(grant.workspace)
        repeat(max(1, grant.tokens.toInt())) {
            val resume = waiters[workspace]?.removeFirstOrNull() ?: return
            resume()
        }
    }
}
