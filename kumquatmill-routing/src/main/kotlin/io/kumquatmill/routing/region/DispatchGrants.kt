package io.kumquatmill.routing.region

import io.kumquatmill.common.id.WorkerId

/**
 * Where the chooser of regions takes what a request needs: [trySlot] takes a slot of a worker, [releaseSlot] gives it
 * back unused, and [tryLink] takes the bytes of a link in both directions or none.
 */
class DispatchGrants(
    val trySlot: (WorkerId) -> Boolean,
    val releaseSlot: (WorkerId) -> Unit,
    val tryLink: (LinkUse) -> Boolean,
)
