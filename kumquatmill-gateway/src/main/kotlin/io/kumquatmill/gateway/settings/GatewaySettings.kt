package io.kumquatmill.gateway.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.fleet.EntryHostInfo

/**
 * Settings of an entry host.
 *
 * @property self identity and location of this host
 * @property callerAddress address on which callers connect
 * @property maxCallerConnections maximum number of open caller connections
 * @property readinessAddress address of the readiness probe
 * @property directoryAddress address at which callers look up the hosts to use
 * @property peerStateAddress address at which peers fetch the store entries that this host knows
 * @property peerReportPort UDP port of the messages between hosts, the same on all hosts
 * @property metricsPort port of the metrics endpoint, or null to disable it
 * @property seeds addresses of peers from which state is fetched while the store is unavailable
 * @property storeAddress address of the key-value store
 * @property storeRecoveryMs time in milliseconds within which all changes must be applied after connections to the store went silent
 * @property directoryTtlS time to live of a directory response at callers, in seconds
 * @property stopTimeoutMs time in milliseconds from the stop request until the process must have exited
 * @property logLevel lowest level that is logged: debug, info, warn or error
 * @property traffic settings of the decisions on requests
 */
data class GatewaySettings(
    val self: EntryHostInfo,
    val callerAddress: HostAddress,
    val maxCallerConnections: Int,
    val readinessAddress: HostAddress,
    val directoryAddress: HostAddress,
    val peerStateAddress: HostAddress,
    val peerReportPort: Int,
    val metricsPort: Int?,
    val seeds: List<HostAddress>,
    val storeAddress: HostAddress,
    val storeRecoveryMs: Long,
    val directoryTtlS: Int,
    val stopTimeoutMs: Long,
    val logLevel: String,
    val traffic: TrafficSettings,
)
