package io.kumquatmill.steering.table

import io.kumquatmill.steering.host.SteeringHost

/**
 * Entry hosts for one caller, the best first.
 *
 * @property hosts hosts in the region of the caller, or in the best other region if that has no live host.
 * @property alternates fallback hosts in other regions.
 * @property cacheMs time for which the caller may cache the answer.
 */
data class SteeringAnswer(
    val hosts: List<SteeringHost>,
    val alternates: List<SteeringHost>,
    val cacheMs: Long,
)
