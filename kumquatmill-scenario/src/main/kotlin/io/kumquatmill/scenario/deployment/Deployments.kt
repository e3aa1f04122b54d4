package io.kumquatmill.scenario.deployment

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.routing.model.Topology
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.scenario.virtual.NetworkDelays

private const val ENTRY_HOST_COUNT = 7
private const val ZONES_PER_REGION = 2
private const val LARGE_UPSTREAM_WORKERS = 28
private const val SMALL_UPSTREAM_WORKERS = 12
private const val BATALIK_LARGE_UPSTREAM_SLOTS = 7
private const val ATLAS_LARGE_UPSTREAM_SLOTS = 6
private const val SMALL_UPSTREAM_SLOTS = 3
private const val WORKER_PORT = 8_080
private const val URGENT_DEADLINE_MS = 3_000L

/** Deployment of Baťalík a synovia: delivery status and standing orders on one upstream, urgent orders on a smaller one. */
fun batalik(): Deployment =
    deployment(
        name = "batalik",
        regions = listOf("zapad", "stred", "vychod").map(::RegionId),
        delays = NetworkDelays(betweenZonesMs = 1, betweenRegionsMs = 35, toCallersMs = 8),
        linkMegabitsPerS = 280.0,
        upstreams =
            listOf(
                UpstreamSize("status", LARGE_UPSTREAM_WORKERS, BATALIK_LARGE_UPSTREAM_SLOTS),
                UpstreamSize("urgent", SMALL_UPSTREAM_WORKERS, SMALL_UPSTREAM_SLOTS),
            ),
        routes =
            listOf(
                idempotentRoute("status", "status"),
                nonIdempotentRoute("standing-order", "status"),
                nonIdempotentRoute("urgent-order", "urgent").copy(deadlineMs = URGENT_DEADLINE_MS),
                idempotentRoute("opening-hours", "status").copy(isPublic = true),
            ),
    )

/** Deployment of Atlas Phonograph Works: catalogue, bookings and news on one upstream, deposits on a smaller one. */
fun atlas(): Deployment =
    deployment(
        name = "atlas",
        regions = listOf("casablanca", "fes", "marrakech").map(::RegionId),
        delays = NetworkDelays(betweenZonesMs = 2, betweenRegionsMs = 35, toCallersMs = 3),
        linkMegabitsPerS = 4_000.0,
        upstreams =
            listOf(
                UpstreamSize("catalogue", LARGE_UPSTREAM_WORKERS, ATLAS_LARGE_UPSTREAM_SLOTS),
                UpstreamSize("deposit", SMALL_UPSTREAM_WORKERS, SMALL_UPSTREAM_SLOTS),
            ),
        routes =
            listOf(
                idempotentRoute("catalogue", "catalogue"),
                nonIdempotentRoute("booking", "catalogue"),
                nonIdempotentRoute("deposit", "deposit"),
                idempotentRoute("news", "catalogue").copy(isPublic = true),
            ),
    )

private data class UpstreamSize(
    val name: String,
    val workers: Int,
    val slots: Int,
)

private fun deployment(
    name: String,
    regions: List<RegionId>,
    delays: NetworkDelays,
    linkMegabitsPerS: Double,
    upstreams: List<UpstreamSize>,
    routes: List<Route>,
): Deployment {
    val zones = regions.flatMap { region -> (1..ZONES_PER_REGION).map { region to AvailabilityZoneId("$region-$it") } }
    val topology =
        Topology(
            routes = routes,
            workers = upstreams.flatMap { workersOf(it, zones) },
            links = regions.flatMap { from -> (regions - from).map { to -> Link(from, to, linkMegabitsPerS) } },
            shiftCap = ShiftCap(requestsPerS = 40.0, intervalMs = 1_000),
        )
    val entryHosts =
        (0 until ENTRY_HOST_COUNT).map { index ->
            val (region, zone) = zones[index % zones.size]
            EntryHostPlacement(HostId("h${index + 1}"), region, zone)
        }
    return Deployment(name, entryHosts, topology, storeRegion = regions.first(), delays)
}

private fun workersOf(
    upstream: UpstreamSize,
    zones: List<Pair<RegionId, AvailabilityZoneId>>,
): List<Worker> =
    (0 until upstream.workers).map { index ->
        val (region, zone) = zones[index % zones.size]
        Worker(
            id = WorkerId("${upstream.name}-${index + 1}"),
            upstream = UpstreamId(upstream.name),
            region = region,
            availabilityZone = zone,
            address = HostAddress("127.0.0.1", WORKER_PORT),
            slots = upstream.slots,
        )
    }

private fun idempotentRoute(
    name: String,
    upstream: String,
) = Route(RouteId(name), "/$name", setOf("GET"), UpstreamId(upstream), isIdempotent = true)

private fun nonIdempotentRoute(
    name: String,
    upstream: String,
) = Route(RouteId(name), "/$name", setOf("POST"), UpstreamId(upstream), isIdempotent = false)
