package io.kumquatmill.node

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.limits.ledger.LedgerSettings
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.routing.health.HealthSettings
import io.kumquatmill.routing.idempotency.IdempotencySettings
import io.kumquatmill.routing.model.Topology
import io.kumquatmill.routing.queue.FairQueueSettings
import io.kumquatmill.routing.retry.RetrySettings
import io.kumquatmill.routing.worker.SelectionSettings
import io.kumquatmill.steering.table.RegionResolver
import io.kumquatmill.steering.table.SteeringSettings

/**
 * Settings of an [EntryNode].
 *
 * [seedPeers] are the addresses of hosts to contact while the store is unreachable.
 * [regionResolver] maps a client address to regions, best first; by default callers belong to the host's region.
 */
data class NodeSettings(
    val description: HostDescription,
    val topology: Topology,
    val membership: MembershipSettings,
    val seedPeers: Map<HostId, HostAddress> = emptyMap(),
    val ledger: LedgerSettings = LedgerSettings(),
    val health: HealthSettings = HealthSettings(),
    val selection: SelectionSettings = SelectionSettings(),
    val retry: RetrySettings = RetrySettings(),
    val queue: FairQueueSettings = FairQueueSettings(),
    val idempotency: IdempotencySettings = IdempotencySettings(),
    val steering: SteeringSettings = SteeringSettings(),
    val request: RequestSettings = RequestSettings(),
    val regionResolver: RegionResolver = { listOf(description.region) },
)
