package io.kumquatmill.traffic.fleet

import kotlinx.serialization.Serializable

/** Where a host of the fleet is; hosts write this record of themselves into the store. */
@Serializable
data class KnownHost(
    val host: String,
    val ip: String,
    val region: String,
    val availabilityZone: String,
)
