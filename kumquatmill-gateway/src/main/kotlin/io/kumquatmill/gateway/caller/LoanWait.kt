package io.kumquatmill.gateway.caller

import io.kumquatmill.common.id.WorkspaceId
import org.xnio.XnioExecutor
import java.util.concurrent.TimeUnit

/**
 * One wait for tokens of the rate limit of [workspace], which a grant or its timer ends after [afterMs], whichever comes first.
 *
 * @param onEnd called with this wait when it ends; it must then be cancelled, as the other of the two could end it again
 */
internal class LoanWait(
    loop: XnioExecutor,
    private val waiters: LoanWaiters,
    private val workspace: WorkspaceId?,
    afterMs: Long,
    onEnd: (LoanWait) -> Unit,
) {
    private val onGrant: () -> Unit = { onEnd(this) }
    private val timer = loop.executeAfter(onGrant, afterMs, TimeUnit.MILLISECONDS)

    init {
        workspace?.let { waiters.add(it, onGrant) }
    }

    /** Removes the timer and no longer waits for a grant. */
    fun cancel() {
        timer.remove()
        workspace?.let { waiters.remove(it, onGrant) }
    }
}
