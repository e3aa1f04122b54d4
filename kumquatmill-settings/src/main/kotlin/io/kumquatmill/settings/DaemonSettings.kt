package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.routing.model.Topology

/**
 * All validated settings of one daemon.
 *
 * @property peers peer addresses of entry hosts to contact while the key-value store is unreachable.
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
