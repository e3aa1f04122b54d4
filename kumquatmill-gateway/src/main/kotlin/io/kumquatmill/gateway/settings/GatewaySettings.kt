package io.kumquatmill.gateway.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.fleet.KnownHost

/**
 * Settings of an entry host.
 *
 * @property self this host
 * @property callers where callers connect
 * @property maxCallerConnections connections of callers that stay open at most
 * @property readiness where the platform asks whether this host is ready
 * @property directory where callers ask which hosts to use
 * @property peerCalls where peers ask for what this host knows
 * @property peerReportPort UDP port for reports between hosts, the same on all of them
 * @property metricsPort port of the metrics, or null for none
 * @property seeds peers' addresses to ask while the store is away
 * @property store address of the key-value service
 * @property directoryTtlS how long callers may keep an answer of the directory
 * @property stopWithinMs time from the request to stop until the process is gone
 */
data class GatewaySettings(
    val self: KnownHost,
    val callers: HostAddress,
    val maxCallerConnections: Int,
    val readiness: HostAddress,
    val directory: HostAddress,
    val peerCalls: HostAddress,
    val peerReportPort: Int,
    val metricsPort: Int?,
    val seeds: List<HostAddress>,
    val store: HostAddress,
    val directoryTtlS: Int,
    val stopWithinMs: Long,
    val logLevel: String,
    val traffic: TrafficSettings,
)
