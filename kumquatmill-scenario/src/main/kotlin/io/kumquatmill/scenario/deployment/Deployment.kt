package io.kumquatmill.scenario.deployment

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.model.Topology
import io.kumquatmill.scenario.virtual.NetworkDelays

/** A deployment on which scenarios run; the key-value store is in [storeRegion]. */
data class Deployment(
    val name: String,
    val entryHosts: List<EntryHostPlacement>,
    val topology: Topology,
    val storeRegion: RegionId,
    val delays: NetworkDelays,
) {
    /** Regions with entry hosts, in the order of [entryHosts]. */
    val regions: List<RegionId>
        get() = entryHosts.map { it.region }.distinct()

    /** Returns the address on which the entry host [host] listens. */
    fun addressOf(host: HostId): HostAddress = HostAddress("127.0.0.1", FIRST_PORT + entryHosts.indexOfFirst { it.host == host })

    private companion object {
        const val FIRST_PORT = 7_001
    }
}
