package io.kumquatmill.steering.table

import io.kumquatmill.steering.host.SteerableHost

/**
 * Entry hosts for one caller, the best first.
 *
 * [hosts] are in the caller's region and [alternates] in the others. The answer may be cached for [cacheMs].
 */
data class SteeringAnswer(
    val hosts: List<SteerableHost>,
    val alternates: List<SteerableHost>,
    val cacheMs: Long,
)
