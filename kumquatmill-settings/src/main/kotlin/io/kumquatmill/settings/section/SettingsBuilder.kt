package io.kumquatmill.settings.section

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.routing.model.Topology
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.settings.HostSettings
import io.kumquatmill.settings.PlatformSettings
import io.kumquatmill.settings.SettingsError
import io.kumquatmill.settings.ini.IniSection
import java.nio.file.Path

private const val UPSTREAM_PREFIX = "upstream."
private const val ROUTE_PREFIX = "route."
private const val LINK_PREFIX = "link."
private val fixedSectionNames =
    setOf("host", "peers", "platform", "availability-zones", "shift", "limits", "queues", "forward", "standing", "logs", "metrics")

/** Builds the settings from the [sections] of all files and adds every error to [errors]. */
internal class SettingsBuilder(
    private val mainFile: Path,
    private val sections: List<IniSection>,
    private val errors: SettingsErrorCollector,
) {
    fun build(): DaemonSettings {
        checkSectionNames()
        val zones = read("availability-zones") { zoneRegions() }
        val host = read("host") { hostSettings().also { checkHost(it, zones) } }
        return DaemonSettings(
            host = host,
            peers = read("peers") { peers() },
            platform = read("platform") { platformSettings().also { checkStoreRegion(it, zones) } },
            topology = topology(zones),
            limits = read("limits") { requestLimits() },
            queues = read("queues") { queueSettings() },
            forward = read("forward") { forwardSettings() },
            standing = read("standing") { standingSettings() },
            logs = read("logs") { logSettings() },
            metrics = read("metrics") { metricsSettings() },
        )
    }

    private fun topology(zones: ZoneRegions): Topology {
        val upstreams = namesWithPrefix(UPSTREAM_PREFIX).map(::UpstreamId)
        val workers = upstreams.flatMap { upstream -> read("$UPSTREAM_PREFIX$upstream") { workers(upstream, zones) } }
        checkWorkers(workers)
        val regions = zones.values.toSet()
        val routes = namesWithPrefix(ROUTE_PREFIX).map { id -> read("$ROUTE_PREFIX$id") { route(RouteId(id), upstreams.toSet()) } }
        if (routes.isEmpty()) addError("${ROUTE_PREFIX}NAME", null, "at least one route", "add a section for each route")
        return Topology(
            routes = routes,
            workers = workers,
            links = namesWithPrefix(LINK_PREFIX).mapNotNull { name -> read("$LINK_PREFIX$name") { link(name, regions) } },
            shiftCap = read("shift") { shiftCap() },
        )
    }

    private fun <T> read(
        name: String,
        block: SectionReader.() -> T,
    ): T {
        val section = sections.firstOrNull { it.name == name } ?: IniSection(mainFile, name, emptyList())
        val reader = SectionReader(section, errors)
        return reader.block().also { reader.reportUnknownKeys() }
    }

    private fun namesWithPrefix(prefix: String): List<String> =
        sections
            .filter { it.name.startsWith(prefix) }
            .map { it.name.removePrefix(prefix) }
            .distinct()

    private fun checkSectionNames() {
        val prefixes = listOf(UPSTREAM_PREFIX, ROUTE_PREFIX, LINK_PREFIX)
        sections
            .filter { section -> section.name !in fixedSectionNames && prefixes.none { section.name.startsWith(it) } }
            .forEach {
                addError(
                    it,
                    it.name,
                    "one of ${fixedSectionNames.joinToString()}, upstream.NAME, route.NAME, link.A.B",
                    "correct or remove it",
                )
            }
        sections
            .groupBy { it.name }
            .filterValues { it.size > 1 }
            .forEach { (name, duplicates) ->
                addError(duplicates.last(), "$name ${duplicates.size} times", "each section once", "join the sections into one")
            }
    }

    private fun checkWorkers(workers: List<Worker>) {
        val byId = workers.groupBy { it.id.value }
        val byAddress = workers.groupBy { it.address.toString() }
        (byId + byAddress).filterValues { it.size > 1 }.forEach { (name, duplicates) ->
            val owners = duplicates.joinToString(" and ") { "${it.upstream} ${it.id}" }
            addError("upstream.NAME", "$name for $owners", "one worker for each name and address", "give each worker its own")
        }
    }

    private fun SectionReader.checkHost(
        host: HostSettings,
        zones: ZoneRegions,
    ) {
        val region = zones[host.availabilityZone]
        if (region != host.region && host.availabilityZone.value.isNotEmpty()) {
            val expected = if (region == null) "a zone of [availability-zones]" else "a zone in region ${host.region}"
            addError("availability-zone", host.availabilityZone.value, expected, "correct the zone or the region")
        }
        if (host.callerAddress == host.peerAddress && host.callerAddress.port != 0) {
            addError("peer-address", host.peerAddress.toString(), "another address than caller-address", "choose another port")
        }
    }

    private fun SectionReader.checkStoreRegion(
        platform: PlatformSettings,
        zones: ZoneRegions,
    ) {
        if (platform.storeRegion.value.isNotEmpty() && platform.storeRegion !in zones.values) {
            addError("store-region", platform.storeRegion.value, "a region of [availability-zones]", "correct the region")
        }
    }

    private fun addError(
        section: IniSection,
        found: String,
        expected: String,
        remedy: String,
    ) = errors.add(SettingsError(section.file, section.name, null, found, expected, remedy))

    private fun addError(
        section: String,
        found: String?,
        expected: String,
        remedy: String,
    ) = errors.add(SettingsError(mainFile, section, null, found, expected, remedy))
}
