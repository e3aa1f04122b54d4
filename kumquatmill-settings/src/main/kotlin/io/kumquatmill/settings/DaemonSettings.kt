package io.kumquatmill.settings

import io.kumquatmill.routing.model.Topology

/** All settings of one daemon, checked. */
data class DaemonSettings(
    val host: HostSettings,
    val platform: PlatformSettings,
    val topology: Topology,
    val limits: RequestLimits,
    val queues: QueueSettings,
    val forward: ForwardSettings,
    val standing: StandingSettings,
    val logs: LogSettings,
    val metrics: MetricsSettings,
)
