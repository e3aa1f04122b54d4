package io.kumquatmill.traffic.fleet

import kotlinx.serialization.Serializable

/** Name and location of a host of the fleet; each host writes this record of itself to the store. */
@Serializable
data class KnownHost(
    val host: String,
    val ip: String,
    val region: String,
    val availabilityZone: String,
)
