package io.kumquatmill.traffic.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Name, location and capacity of a host of the fleet; each host writes this record of itself to the store.
 *
 * The capacity is null where the host's settings do not state it, and in records of earlier builds.
 *
 * @property cores processing capacity, as a multiple of one core of standard speed
 * @property linkMbps bandwidth of the network link in megabits per second
 * @property memoryMb memory in megabytes
 */
@Serializable
@SerialName("io.kumquatmill.traffic.fleet.KnownHost")
data class EntryHostInfo(
    val host: String,
    val ip: String,
    val region: String,
    val availabilityZone: String,
    val cores: Double? = null,
    val linkMbps: Double? = null,
    val memoryMb: Double? = null,
)
