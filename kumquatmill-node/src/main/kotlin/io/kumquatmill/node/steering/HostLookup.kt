package io.kumquatmill.node.steering

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.configuration.current.ConfigurationSnapshot
import io.kumquatmill.membership.fleet.KnownHost
import io.kumquatmill.membership.fleet.KnownHostState
import io.kumquatmill.node.EntryHost
import io.kumquatmill.node.LookupQuery
import io.kumquatmill.node.LookupResult
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.steering.host.SteeringHost
import io.kumquatmill.steering.host.SteeringHostState
import io.kumquatmill.steering.table.SteeringTable

/** Answers lookups from a steering table that is rebuilt when the known hosts or the configuration change. */
internal class HostLookup(
    private val settings: NodeSettings,
) {
    private var hosts: List<KnownHost> = emptyList()
    private var snapshot: ConfigurationSnapshot? = null
    private var table = buildTable()

    /** Sets the current hosts and configuration. */
    fun update(
        knownHosts: List<KnownHost>,
        newSnapshot: ConfigurationSnapshot?,
    ) {
        if (knownHosts == hosts && newSnapshot === snapshot) return
        hosts = knownHosts
        snapshot = newSnapshot
        table = buildTable()
    }

    fun lookUp(query: LookupQuery): LookupResult {
        val current = snapshot ?: return refused(RefusalReason.HOST_STARTING)
        val workspace = query.keyHash?.let { current.workspaceOf(it) ?: return refused(RefusalReason.KEY_UNKNOWN) }
        val result = table.lookUp(workspace, query.clientIp)
        if (result.hosts.isEmpty()) return refused(RefusalReason.HOST_STARTING)
        return LookupResult.Found(result.hosts.map { it.toEntryHost() }, result.alternates.map { it.toEntryHost() }, result.cacheMs)
    }

    private fun buildTable() =
        SteeringTable(
            hosts = hosts.map { it.toSteeringHost() },
            regionsOf = settings.regionResolver,
            demandPerS = ::ratePerS,
            settings = settings.steering,
        )

    private fun ratePerS(workspace: WorkspaceId): Double = snapshot?.planOf(workspace)?.ratePerS ?: 0.0

    private fun refused(reason: RefusalReason) = LookupResult.Refused(Outcome.NotRun(reason, settings.request.retryAfterMs))
}

private fun SteeringHost.toEntryHost() = EntryHost(host, region, address)

private fun KnownHost.toSteeringHost() =
    SteeringHost(
        host = member.host,
        region = member.region,
        address = member.callerAddress,
        state =
            when (state) {
                KnownHostState.LIVE -> SteeringHostState.LIVE
                KnownHostState.LEAVING -> SteeringHostState.LEAVING
                KnownHostState.GONE -> SteeringHostState.GONE
            },
    )
