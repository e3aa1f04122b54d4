package io.kumquatmill.bench.fleet

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.membership.HostDescription
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.node.NodeSettings
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.routing.model.Topology
import io.kumquatmill.routing.model.Worker

/** Generates the hosts, workers and operator configuration of a fleet of any size. */
internal data class FleetSpec(
    val hosts: Int,
    val regions: Int = DEFAULT_REGIONS,
    val workers: Int = DEFAULT_WORKERS,
    val workspaces: Int = DEFAULT_WORKSPACES,
    val ratePerS: Double = DEFAULT_RATE_PER_S,
) {
    private val regionIds = (0 until regions).map { RegionId("region-$it") }
    private val zones = regionIds.flatMap { region -> (1..ZONES_PER_REGION).map { region to AvailabilityZoneId("$region-$it") } }

    /** Region of the store. */
    val storeRegion: RegionId = regionIds.first()

    /** Names, zones and addresses of the hosts. */
    val descriptions: List<HostDescription> = (0 until hosts).map(::descriptionOf)

    /** Routes, workers and links between regions. */
    val topology: Topology =
        Topology(
            routes = listOf(Route(ROUTE, PATH, setOf(METHOD), UPSTREAM, isIdempotent = true)),
            workers = (0 until workers).map(::workerOf),
            links = regionIds.flatMap { from -> (regionIds - from).map { Link(from, it, LINK_MEGABITS_PER_S) } },
            shiftCap = ShiftCap(SHIFT_REQUESTS_PER_S, SHIFT_INTERVAL_MS),
        )

    /** Returns plans and customers, with one plan per [WORKSPACES_PER_PLAN] workspaces. */
    fun operatorConfiguration(): OperatorConfiguration =
        OperatorConfiguration(
            plans = (0..workspaces / WORKSPACES_PER_PLAN).map { Plan(planId(it), ratePerS, ratePerS.toInt(), setOf(ROUTE)) },
            customers =
                (0 until workspaces).map {
                    Customer(
                        WorkspaceId("workspace-$it"),
                        planId(it / WORKSPACES_PER_PLAN),
                        setOf(keyOf(it)),
                    )
                },
        )

    /** Returns the settings of one host. */
    fun settings(description: HostDescription): NodeSettings =
        NodeSettings(
            description = description,
            topology = topology,
            membership = MembershipSettings(storeRegion, seedHosts = descriptions.take(SEED_HOSTS).map { it.host }.toSet()),
        )

    private fun descriptionOf(index: Int): HostDescription {
        val (region, zone) = zones[index % zones.size]
        val address = HostAddress("10.${index / HOSTS_PER_OCTET}.${index % HOSTS_PER_OCTET}.1", CALLER_PORT)
        return HostDescription(HostId("entry-$index"), region, zone, address, address.copy(port = PEER_PORT))
    }

    private fun workerOf(index: Int): Worker {
        val (region, zone) = zones[index % zones.size]
        return Worker(WorkerId("worker-$index"), UPSTREAM, region, zone, HostAddress("10.200.0.1", CALLER_PORT), SLOTS_PER_WORKER)
    }

    companion object {
        const val PATH: String = "/status"
        const val METHOD: String = "GET"
        private val ROUTE = RouteId("status")
        private val UPSTREAM = UpstreamId("status")
        private const val DEFAULT_REGIONS = 3
        private const val DEFAULT_WORKERS = 40
        private const val DEFAULT_WORKSPACES = 8
        private const val DEFAULT_RATE_PER_S = 100.0
        private const val WORKSPACES_PER_PLAN = 10
        private const val ZONES_PER_REGION = 2
        private const val SEED_HOSTS = 3
        private const val HOSTS_PER_OCTET = 200
        private const val CALLER_PORT = 8_080
        private const val PEER_PORT = 9_090
        private const val SLOTS_PER_WORKER = 7
        private const val LINK_MEGABITS_PER_S = 280.0
        private const val SHIFT_REQUESTS_PER_S = 40.0
        private const val SHIFT_INTERVAL_MS = 1_000L

        private fun planId(index: Int) = PlanId("plan-$index")

        /** Returns the key hash of the workspace at [index]. */
        fun keyOf(index: Int): KeyHash = KeyHash.of("key-$index")
    }
}
