package io.kumquatmill.configuration.model

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.RouteId
import kotlinx.serialization.Serializable

/**
 * What each workspace on a plan may use, over all entry hosts together.
 *
 * [ratePerS] is in requests per second; [burst] is the number of requests that may come at once;
 * [weight] is the share in queues when capacity is short.
 */
@Serializable
data class Plan(
    val id: PlanId,
    val ratePerS: Double,
    val burst: Int,
    val routes: Set<RouteId>,
    val weight: Int = 1,
)
