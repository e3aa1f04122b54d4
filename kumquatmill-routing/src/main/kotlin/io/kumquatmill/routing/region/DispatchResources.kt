package io.kumquatmill.routing.region

import io.kumquatmill.common.id.WorkerId

/**
 * Functions with which a [RegionSelector] acquires the resources of a request.
 *
 * [tryAcquireSlot] acquires a slot of a worker, and [releaseSlot] returns it unused. [tryReserveLink] reserves link capacity in
 * both directions or not at all. The `try` functions return whether they succeeded.
 */
class DispatchResources(
    val tryAcquireSlot: (WorkerId) -> Boolean,
    val releaseSlot: (WorkerId) -> Unit,
    val tryReserveLink: (LinkReservation) -> Boolean,
)
