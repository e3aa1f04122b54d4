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

private const val UPSTREAM = "upstream."
private const val ROUTE = "route."
private const val LINK = "link."
private val plainSections =
    setOf("host", "peers", "platform", "availability-zones", "shift", "limits", "queues", "forward", "standing", "logs", "metrics")

/** Builds the settings out of the [sections] of all files and notes every fault in [errors]. */
internal class SettingsBuilder(
    private val mainFile: Path,
    private val sections: List<IniSection>,
    private val errors: ErrorLog,
) {
    fun build(): DaemonSettings {
        checkSectionNames()
        val zones = read("availability-zones") { zoneRegions() }
        val host = read("host") { hostSettings().also { checkZone(it, zones) } }
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
        val upstreams = namesUnder(UPSTREAM).map(::UpstreamId)
        val workers = upstreams.flatMap { upstream -> read("$UPSTREAM$upstream") { workers(upstream, zones) } }
        checkWorkers(workers)
        val regions = zones.values.toSet()
        val routes = namesUnder(ROUTE).map { id -> read("$ROUTE$id") { route(RouteId(id), upstreams.toSet()) } }
        if (routes.isEmpty()) note("${ROUTE}NAME", null, "at least one route", "add a section for each route")
        return Topology(
            routes = routes,
            workers = workers,
            links = namesUnder(LINK).mapNotNull { name -> read("$LINK$name") { link(name, regions) } },
            shiftCap = read("shift") { shiftCap() },
        )
    }

    private fun <T> read(
        name: String,
        block: SectionReader.() -> T,
    ): T {
        val section = sections.firstOrNull { it.name == name } ?: IniSection(mainFile, name, emptyList())
        val reader = SectionReader(section, errors)
        return reader.block().also { reader.finish() }
    }

    private fun namesUnder(prefix: String): List<String> =
        sections
            .filter { it.name.startsWith(prefix) }
            .map { it.name.removePrefix(prefix) }
            .distinct()

    private fun checkSectionNames() {
        val prefixes = listOf(UPSTREAM, ROUTE, LINK)
        sections
            .filter { section -> section.name !in plainSections && prefixes.none { section.name.startsWith(it) } }
            .forEach {
                note(
                    it,
                    it.name,
                    "one of ${plainSections.joinToString()}, upstream.NAME, route.NAME, link.A.B",
                    "correct or remove it",
                )
            }
        sections
            .groupBy { it.name }
            .filterValues { it.size > 1 }
            .forEach { (name, doubled) ->
                note(doubled.last(), "$name ${doubled.size} times", "each section once", "join the sections into one")
            }
    }

    private fun checkWorkers(workers: List<Worker>) {
        val byId = workers.groupBy { it.id.value }
        val byAddress = workers.groupBy { it.address.toString() }
        (byId + byAddress).filterValues { it.size > 1 }.forEach { (name, doubled) ->
            val owners = doubled.joinToString(" and ") { "${it.upstream} ${it.id}" }
            note("upstream.NAME", "$name for $owners", "one worker for each name and address", "give each worker its own")
        }
    }

    private fun SectionReader.checkZone(
        host: HostSettings,
        zones: ZoneRegions,
    ) {
        val region = zones[host.availabilityZone]
        if (region != host.region && host.availabilityZone.value.isNotEmpty()) {
            val expected = if (region == null) "a zone of [availability-zones]" else "a zone in region ${host.region}"
            note("availability-zone", host.availabilityZone.value, expected, "correct the zone or the region")
        }
        if (host.callerAddress == host.peerAddress && host.callerAddress.port != 0) {
            note("peer-address", host.peerAddress.toString(), "another address than caller-address", "choose another port")
        }
    }

    private fun SectionReader.checkStoreRegion(
        platform: PlatformSettings,
        zones: ZoneRegions,
    ) {
        if (platform.storeRegion.value.isNotEmpty() && platform.storeRegion !in zones.values) {
            note("store-region", platform.storeRegion.value, "a region of [availability-zones]", "correct the region")
        }
    }

    private fun note(
        section: IniSection,
        found: String,
        expected: String,
        remedy: String,
    ) = errors.add(SettingsError(section.file, section.name, null, found, expected, remedy))

    private fun note(
        section: String,
        found: String?,
        expected: String,
        remedy: String,
    ) = errors.add(SettingsError(mainFile, section, null, found, expected, remedy))
}
