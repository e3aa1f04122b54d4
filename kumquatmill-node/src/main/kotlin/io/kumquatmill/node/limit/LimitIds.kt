package io.kumquatmill.node.limit

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.ledger.LimitId

/** Returns the ID of the rate limit on the attempts of [workspace]. */
internal fun rateLimitId(workspace: WorkspaceId) = LimitId("rate/$workspace")

/** Returns the ID of the limit on the concurrent requests of [worker]. */
internal fun slotLimitId(worker: WorkerId) = LimitId("slots/$worker")

/** Returns the ID of the limit on the bytes sent from region [from] to region [to]. */
internal fun linkLimitId(
    from: RegionId,
    to: RegionId,
) = LimitId("link/$from>$to")

/** Returns the ID of the limit on the growth of the traffic shifted from region [from] to region [to]. */
internal fun shiftLimitId(
    from: RegionId,
    to: RegionId,
) = LimitId("shift/$from>$to")
