package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.routing.model.Topology

/**
 * All settings of one daemon, checked.
 *
 * [peers] are the peer addresses of entry hosts that may be asked while the key-value service can't be reached.
 */
data class DaemonSettings(
    val host: HostSettings,
    val peers: Map<HostId, HostAddress>,
    val platform: PlatformSettings,
    val topology: Topology,
    val limits: RequestLimits,
    val queues: QueueSettings,
    val forward: ForwardSettings,
    val standing: StandingSettings,
    val logs: LogSettings,
    val metrics: MetricsSettings,
)
