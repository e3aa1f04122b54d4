package io.kumquatmill.traffic.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Name and location of a host of the fleet; each host writes this record of itself to the store. */
@Serializable
@SerialName("io.kumquatmill.traffic.fleet.KnownHost")
data class EntryHostInfo(
    val host: String,
    val ip: String,
    val region: String,
    val availabilityZone: String,
)
