package io.kumquatmill.settings.section

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
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.SettingsDefaults

private const val WORKER_PREFIX = "worker."
private const val WORKER_WORD_COUNT = 2
private const val WORKER_EXPECTED = "AVAILABILITY-ZONE ${SectionReader.ADDRESS_EXPECTED}"
private const val LINK_END_COUNT = 2
private val slotsRange = 1..100_000
private val methodPattern = Regex("[A-Z]+")

/** Region of each availability zone. */
internal typealias ZoneRegions = Map<AvailabilityZoneId, RegionId>

internal fun SectionReader.zoneRegions(): ZoneRegions =
    optionsWithPrefix("")
        .onEach { (zone, region) -> if (region.isBlank()) addError(zone, region, "the name of a region", "name the region") }
        .map { (zone, region) -> AvailabilityZoneId(zone) to RegionId(region) }
        .toMap()

internal fun SectionReader.peers(): Map<HostId, HostAddress> =
    optionsWithPrefix("")
        .mapNotNull { (host, value) -> peer(host, value) }
        .toMap()

private fun SectionReader.peer(
    host: String,
    value: String,
): Pair<HostId, HostAddress>? {
    val address = value.toHostAddressOrNull()
    if (address == null) addError(host, value, SectionReader.ADDRESS_EXPECTED, "write the peer-address of that host")
    return address?.let { HostId(host) to it }
}

internal fun SectionReader.workers(
    upstream: UpstreamId,
    zones: ZoneRegions,
): List<Worker> {
    val slots = int("slots", slotsRange)
    val workers = optionsWithPrefix(WORKER_PREFIX).mapNotNull { (id, value) -> worker(WorkerId(id), upstream, slots, value, zones) }
    if (workers.isEmpty()) addError("${WORKER_PREFIX}NAME", null, WORKER_EXPECTED, "add a line for each worker")
    return workers
}

private fun SectionReader.worker(
    id: WorkerId,
    upstream: UpstreamId,
    slots: Int,
    value: String,
    zones: ZoneRegions,
): Worker? {
    val words = value.splitToWords()
    val address = words.lastOrNull()?.toHostAddressOrNull()
    if (words.size != WORKER_WORD_COUNT || address == null) {
        addError("$WORKER_PREFIX$id", value, WORKER_EXPECTED, "write the zone and the IP address with its port")
        return null
    }
    val zone = AvailabilityZoneId(words.first())
    val region = zones[zone]
    if (region == null) {
        addError("$WORKER_PREFIX$id", zone.value, "a zone of [availability-zones]", "list the zone there or use another")
        return null
    }
    return Worker(id, upstream, region, zone, address, slots)
}

internal fun SectionReader.route(
    id: RouteId,
    upstreams: Set<UpstreamId>,
): Route {
    val path = text("path", "a path that starts with /")
    if (path.isNotEmpty() && !path.startsWith("/")) addError("path", path, "a path that starts with /", "add the slash")
    val upstream = UpstreamId(name("upstream"))
    if (upstream.value.isNotEmpty() && upstream !in upstreams) {
        addError("upstream", upstream.value, "one of ${upstreams.joinToString(", ")}", "add a section [upstream.$upstream] or use another")
    }
    return Route(
        id = id,
        pathPrefix = path,
        methods = methods(),
        upstream = upstream,
        isIdempotent = boolean("idempotent"),
        isPublic = boolean("open", default = false),
        deadlineMs = durationMs("deadline-ms", Route.DEFAULT_DEADLINE_MS),
    )
}

private fun SectionReader.methods(): Set<String> {
    val methods = words("methods", "methods such as GET, POST").toSet()
    methods.filterNot(methodPattern::matches).forEach { addError("methods", it, "methods in capital letters", "correct the method") }
    return methods
}

internal fun SectionReader.link(
    name: String,
    regions: Set<RegionId>,
): Link? {
    val megabitsPerS = positiveDouble("megabits-per-s")
    val ends = name.split('.').map(::RegionId)
    if (ends.size != LINK_END_COUNT || ends.distinct().size != LINK_END_COUNT || !regions.containsAll(ends)) {
        addError(null, name, "[link.REGION.REGION] with two regions of [availability-zones]", "correct the name of the section")
        return null
    }
    return Link(ends.first(), ends.last(), megabitsPerS)
}

internal fun SectionReader.shiftCap(): ShiftCap =
    ShiftCap(
        requestsPerS = positiveDouble("requests-per-s"),
        intervalMs = durationMs("interval-ms", SettingsDefaults.SHIFT_INTERVAL_MS),
    )
