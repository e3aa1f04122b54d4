package io.kumquatmill.node.steering

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.configuration.current.ConfigurationSnapshot
import io.kumquatmill.membership.fleet.KnownHost
import io.kumquatmill.membership.fleet.KnownHostState
import io.kumquatmill.node.EntryHost
import io.kumquatmill.node.LookUpAnswer
import io.kumquatmill.node.LookUpQuery
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.steering.host.SteeringHost
import io.kumquatmill.steering.host.SteeringHostState
import io.kumquatmill.steering.table.SteeringTable

/** Answers look-ups from a table that is built anew when the known hosts or the operators' lists change. */
internal class LookUpDesk(
    private val settings: NodeSettings,
) {
    private var hosts: List<KnownHost> = emptyList()
    private var snapshot: ConfigurationSnapshot? = null
    private var table = newTable()

    /** Takes the hosts and lists that are known now. */
    fun update(
        knownHosts: List<KnownHost>,
        newSnapshot: ConfigurationSnapshot?,
    ) {
        if (knownHosts == hosts && newSnapshot === snapshot) return
        hosts = knownHosts
        snapshot = newSnapshot
        table = newTable()
    }

    fun lookUp(query: LookUpQuery): LookUpAnswer {
        val current = snapshot ?: return refused(RefusalReason.HOST_STARTING)
        val workspace = query.keyHash?.let { current.workspaceOf(it) ?: return refused(RefusalReason.KEY_UNKNOWN) }
        val answer = table.lookUp(workspace, query.clientIp)
        if (answer.hosts.isEmpty()) return refused(RefusalReason.HOST_STARTING)
        return LookUpAnswer.Found(answer.hosts.map { it.toEntryHost() }, answer.alternates.map { it.toEntryHost() }, answer.cacheMs)
    }

    private fun newTable() =
        SteeringTable(
            hosts = hosts.map { it.toSteerable() },
            regionsOf = settings.callerRegions,
            demandPerS = ::ratePerS,
            settings = settings.steering,
        )

    private fun ratePerS(workspace: WorkspaceId): Double = snapshot?.planOf(workspace)?.ratePerS ?: 0.0

    private fun refused(reason: RefusalReason) = LookUpAnswer.Refused(Outcome.NotRun(reason, settings.request.retryAfterMs))
}

private fun SteeringHost.toEntryHost() = EntryHost(host, region, address)

private fun KnownHost.toSteerable() =
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
