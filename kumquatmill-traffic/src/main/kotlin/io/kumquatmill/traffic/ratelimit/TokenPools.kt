package io.kumquatmill.traffic.ratelimit

import io.kumquatmill.common.hash.rendezvousOrder
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.fleet.EntryHostInfo

/**
 * Chooses the pool hosts of workspaces whose rate is too low to be divided among all hosts: one host in each region.
 *
 * A part of a low rate on each of many hosts is less than a token, so that requests are refused at one host while the tokens for them
 * lie at others. Pool hosts hold all tokens, and the other hosts borrow one for each request. All hosts that know the same live hosts
 * choose the same pool hosts, and a host that fails or returns changes only the pools that it holds.
 *
 * @param hosts live hosts, including this one
 */
internal class TokenPools(
    val hosts: Set<EntryHostInfo>,
    private val self: EntryHostInfo,
) {
    private val hostsByRegion = hosts.groupBy { it.region }
    private val poolHosts = HashMap<WorkspaceId, List<EntryHostInfo>>()

    /** Returns the pool hosts of [workspace]: the one of this host's region first, the others in an order that depends on the workspace. */
    fun of(workspace: WorkspaceId): List<EntryHostInfo> =
        poolHosts.getOrPut(workspace) {
            hostsByRegion
                .map { (_, candidates) -> rendezvousOrder(workspace.value, candidates) { it.host }.first() }
                .let { holders -> rendezvousOrder(workspace.value, holders) { it.host } }
                .sortedBy { it.region != self.region }
        }
}
