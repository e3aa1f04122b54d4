package io.kumquatmill.configuration.model

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.RouteId
import kotlinx.serialization.Serializable

/**
 * Quota of each workspace on this plan, enforced across all entry hosts together.
 *
 * @property ratePerS sustained rate in requests per second.
 * @property burst number of requests that may arrive at once.
 * @property routes routes that the workspace may call.
 * @property weight relative share of the workspace in fair queueing when capacity is short.
 */
@Serializable
data class Plan(
    val id: PlanId,
    val ratePerS: Double,
    val burst: Int,
    val routes: Set<RouteId>,
    val weight: Int = 1,
)
