package io.kumquatmill.traffic

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Upstream
import io.kumquatmill.traffic.model.WeightedUpstream
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.Workspace
import io.kumquatmill.traffic.placement.PlacementSettings
import io.kumquatmill.traffic.placement.WorkerRegistry
import io.kumquatmill.traffic.workerlimit.WorkerLimitSettings
import io.kumquatmill.traffic.workerlimit.WorkerLimits

internal val catalogueUpstream = UpstreamId("catalogue")

/** For requests whose content does not matter. */
internal val anyFingerprint = RequestFingerprint(0)

internal val regionByZone =
    mapOf("east-a" to "east", "east-b" to "east", "west-a" to "west")
        .entries
        .associate { (zone, region) -> AvailabilityZoneId(zone) to RegionId(region) }

internal fun route(
    name: String = "lookup",
    pathPrefix: String = "/lookup/",
    isIdempotent: Boolean = true,
    weightedUpstreams: List<WeightedUpstream> = listOf(WeightedUpstream(catalogueUpstream, 1.0)),
    maxAttempts: Int = 2,
    priority: Int = 0,
    homeRegions: Set<String> = emptySet(),
    timeoutMs: Long? = 2_000,
) = TrafficRoute(
    id = RouteId(name),
    host = "shop.example",
    pathPrefix = pathPrefix,
    weightedUpstreams = weightedUpstreams,
    isIdempotent = isIdempotent,
    isPublic = false,
    hasAffinity = true,
    timeoutMs = timeoutMs,
    targetLatencyMs = 300,
    maxAttempts = maxAttempts,
    priority = priority,
    homeRegions = homeRegions.mapTo(HashSet(), ::RegionId),
)

internal fun worker(
    name: String,
    zone: String = "east-a",
    slots: Int = 4,
    isDraining: Boolean = false,
    warmUpRemainingMs: Long = 0,
    startedAtMs: Long = 1,
    revision: Long = 1,
    upstream: UpstreamId = catalogueUpstream,
) = WorkerEntry(
    id = WorkerId(name),
    upstream = upstream,
    address = HostAddress("10.0.0.1", 8_000 + name.hashCode().mod(1_000)),
    availabilityZone = AvailabilityZoneId(zone),
    slots = slots,
    isDraining = isDraining,
    warmUpRemainingMs = warmUpRemainingMs,
    startedAtMs = startedAtMs,
    revision = revision,
)

internal fun workspace(
    name: String = "alpha",
    ratePerS: Double = 0.0,
    burst: Double = 0.0,
    homeRegions: Set<String> = emptySet(),
    keys: Set<String> = setOf("key-$name"),
) = Workspace(
    id = WorkspaceId(name),
    keys = keys,
    ratePerS = ratePerS,
    burst = burst,
    priority = 0,
    homeRegions = homeRegions.mapTo(HashSet(), ::RegionId),
)

internal fun desiredState(
    version: Long = 1,
    routes: List<TrafficRoute> = listOf(route()),
    workspaces: List<Workspace> = listOf(workspace()),
    isKeyRequired: Boolean = true,
    coldRatePerS: Double = 10.0,
    maxConnections: Int = 100,
) = DesiredState(
    version = version,
    routes = routes,
    workspaces = workspaces,
    isKeyRequired = isKeyRequired,
    upstreams = mapOf(catalogueUpstream to Upstream(catalogueUpstream, maxConnections, coldMs = 3_000, coldRatePerS = coldRatePerS)),
    maxBodyBytes = 1_000_000,
)

internal fun steeringState(
    workers: List<WorkerEntry>,
    desired: DesiredState = desiredState(),
    evacuatedZones: Set<String> = emptySet(),
) = SteeringState(desired, workers.associateBy { it.id }, evacuatedZones.mapTo(HashSet(), ::AvailabilityZoneId))

internal fun host(
    name: String,
    zone: String = "east-a",
) = EntryHostInfo(name, "10.1.0.${name.hashCode().mod(250)}", regionByZone.getValue(AvailabilityZoneId(zone)).value, zone)

internal fun report(
    host: EntryHostInfo,
    sequence: Long = 1,
    incarnation: Long = 1,
    demandPerS: Map<WorkspaceTag, Double> = emptyMap(),
    sharesPerMille: Map<WorkspaceTag, Int> = emptyMap(),
    stalePeers: List<String> = emptyList(),
    isServing: Boolean = true,
) = PeerReport(
    host = host.host,
    incarnation = incarnation,
    sequence = sequence,
    ip = host.ip,
    region = host.region,
    availabilityZone = host.availabilityZone,
    storeRevision = 1,
    isServing = isServing,
    demandPerS = demandPerS,
    sharesPerMille = sharesPerMille,
    stalePeers = stalePeers,
)

/** Returns the registry of the workers that the host h1 of [fleet] knows. */
internal fun workerRegistry(
    fleet: FleetView = FleetView(host("h1")),
    settings: PlacementSettings = PlacementSettings(),
) = WorkerRegistry(
    "h1",
    settings,
    WorkerLimits(fleet, WorkerLimitSettings(), regionByZone) { },
    coldRateFactor = 1.5,
    coldRateSlack = 5.0,
)

internal fun settings() =
    TrafficSettings(
        regionByZone = regionByZone,
        retryRatio = 0.2,
        retryReserve = 30.0,
        retryWindowMs = 10_000,
        coldRateFactor = 1.5,
        coldRateSlack = 5.0,
    )

internal fun trafficController(
    workers: List<WorkerEntry>,
    desired: DesiredState = desiredState(),
): TrafficController = TrafficController(host("h1"), settings()).apply { update(0, steeringState(workers, desired)) }
