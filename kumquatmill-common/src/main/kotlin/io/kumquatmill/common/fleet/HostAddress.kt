package io.kumquatmill.common.fleet

import kotlinx.serialization.Serializable

/** IP address and TCP port of a listening socket. */
@Serializable
data class HostAddress(
    val ip: String,
    val port: Int,
) {
    override fun toString(): String = "$ip:$port"
}
