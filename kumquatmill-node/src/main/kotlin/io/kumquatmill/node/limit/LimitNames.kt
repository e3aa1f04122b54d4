package io.kumquatmill.node.limit

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.ledger.LimitId

/** Returns the limit on the attempts of [workspace]. */
internal fun rateLimit(workspace: WorkspaceId) = LimitId("rate/$workspace")

/** Returns the limit on the requests that [worker] serves at a time. */
internal fun slotLimit(worker: WorkerId) = LimitId("slots/$worker")

/** Returns the limit on the bytes that go from region [from] to region [to]. */
internal fun linkLimit(
    from: RegionId,
    to: RegionId,
) = LimitId("link/$from>$to")

/** Returns the limit on the growth of the traffic that moves from region [from] to region [to]. */
internal fun shiftLimit(
    from: RegionId,
    to: RegionId,
) = LimitId("shift/$from>$to")
