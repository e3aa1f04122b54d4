package io.kumquatmill.gateway.settings

import arrow.core.EitherNel
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.settings.SettingsError
import io.kumquatmill.settings.ini.IniSection
import io.kumquatmill.settings.ini.readIni
import io.kumquatmill.settings.section.SectionReader
import io.kumquatmill.settings.section.SettingsErrorCollector
import io.kumquatmill.traffic.desk.TrafficSettings
import io.kumquatmill.traffic.fleet.KnownHost
import java.nio.file.Path
import kotlin.math.min

private const val ZONES = "availability-zones"
private const val MILLIS_PER_SECOND = 1_000L
private val sectionNames = setOf("host", "listen", "peers", "store", "directory", "stop", "log", "retries", "cold-workers", ZONES)
private val logLevels = listOf("debug", "info", "warn", "error").associateWith { it }

/** Reads and checks the INI file [file] of an entry host; returns all faults at once. */
fun loadGatewaySettings(file: Path): EitherNel<SettingsError, GatewaySettings> {
    val errors = SettingsErrorCollector()
    val sections =
        readIni(file).fold({
            errors.add(it)
            emptyList()
        }, { it })
    errors.errors.toNonEmptyListOrNull()?.let { return it.left() }
    val settings = GatewaySettingsReader(file, sections, errors).read()
    return errors.errors.toNonEmptyListOrNull()?.left() ?: settings.right()
}

private class GatewaySettingsReader(
    private val file: Path,
    private val sections: List<IniSection>,
    private val errors: SettingsErrorCollector,
) {
    fun read(): GatewaySettings {
        noteUnknownSections()
        val self =
            section("host") {
                KnownHost(
                    host = name("id"),
                    ip = text("ip", "an IP number"),
                    region = name("region"),
                    availabilityZone = name("availability-zone"),
                )
            }
        val zones = zones()
        if (self.availabilityZone.isNotEmpty() && AvailabilityZoneId(self.availabilityZone) !in zones) {
            errors.add(SettingsError(file, "host", "availability-zone", self.availabilityZone, "a zone of [$ZONES]", "list the zone there"))
        }
        val traffic = traffic(zones)
        val listen =
            section("listen") {
                Listen(
                    address("callers"),
                    address("readiness"),
                    address("directory"),
                    address("peer-calls"),
                    int("peer-report-port", PORTS),
                    optionalPort("metrics-port"),
                    int("max-descriptors", MIN_DESCRIPTORS..Int.MAX_VALUE, DESCRIPTORS),
                )
            }
        return GatewaySettings(
            self = self,
            callers = listen.callers,
            maxCallerConnections = ((listen.maxDescriptors - FILE_DESCRIPTORS) * CALLERS_PART).toInt(),
            readiness = listen.readiness,
            directory = listen.directory,
            peerCalls = listen.peerCalls,
            peerReportPort = listen.peerReportPort,
            metricsPort = listen.metricsPort,
            seeds = section("peers") { if (optionalText("seeds").isNullOrBlank()) emptyList() else addresses("seeds") },
            store = section("store") { address("address") },
            directoryTtlS = section("directory") { min(DIRECTORY_TTL_S, int("max-ttl-s", 1..MAX_TTL_S, DIRECTORY_TTL_S)) },
            stopWithinMs = section("stop") { int("within-s", 1..MAX_STOP_S, STOP_S) * MILLIS_PER_SECOND },
            logLevel = section("log") { choice("level", logLevels, "info") ?: "info" },
            traffic = traffic,
        )
    }

    private class Listen(
        val callers: HostAddress,
        val readiness: HostAddress,
        val directory: HostAddress,
        val peerCalls: HostAddress,
        val peerReportPort: Int,
        val metricsPort: Int?,
        val maxDescriptors: Int,
    )

    private fun traffic(zones: Map<AvailabilityZoneId, RegionId>): TrafficSettings {
        val retries =
            section("retries") {
                Triple(
                    positiveDouble("ratio", RETRY_RATIO),
                    positiveDouble("reserve", RETRY_RESERVE),
                    int("window-s", 1..MAX_WINDOW_S, RETRY_WINDOW_S) * MILLIS_PER_SECOND,
                )
            }
        val cold = section("cold-workers") { positiveDouble("over", COLD_OVER) to positiveDouble("slack", COLD_SLACK) }
        return TrafficSettings(
            zones = zones,
            retryRatio = retries.first,
            retryReserve = retries.second,
            retryWindowMs = retries.third,
            coldOver = cold.first,
            coldSlack = cold.second,
        )
    }

    private fun zones(): Map<AvailabilityZoneId, RegionId> =
        section(ZONES) { optionsWithPrefix("") }.entries.associate { (zone, region) -> AvailabilityZoneId(zone) to RegionId(region) }

    private fun SectionReader.optionalPort(key: String): Int? = if (optionalText(key).isNullOrBlank()) null else int(key, PORTS)

    private fun <T> section(
        name: String,
        read: SectionReader.() -> T,
    ): T {
        val found = sections.filter { it.name == name }
        if (found.size > 1) errors.add(SettingsError(file, name, null, "${found.size} sections", "one section", "join them"))
        val reader = SectionReader(found.firstOrNull() ?: IniSection(file, name, emptyList()), errors)
        return reader.read().also { reader.reportUnknownKeys() }
    }

    private fun noteUnknownSections() =
        sections.filter { it.name !in sectionNames }.forEach { section ->
            errors.add(
                SettingsError(file, section.name, null, section.name, "one of ${sectionNames.joinToString(", ")}", "correct or remove it"),
            )
        }

    private companion object {
        /** Descriptors of a process where the platform does not say: the usual limit of a service. */
        const val DESCRIPTORS = 4_096
        const val MIN_DESCRIPTORS = 512

        /** Descriptors that the platform sets aside for files. */
        const val FILE_DESCRIPTORS = 200

        /** Part of the other descriptors that callers may hold; workers, the store and peers need the rest. */
        const val CALLERS_PART = 0.6

        val PORTS = 1..65_535

        /** Short enough that callers leave a lost host within seconds, long enough that look-ups stay few. */
        const val DIRECTORY_TTL_S = 2
        const val MAX_TTL_S = 3_600
        const val STOP_S = 6
        const val MAX_STOP_S = 600

        /** Figures for a deployment that states none. */
        const val RETRY_RATIO = 0.2
        const val RETRY_RESERVE = 50.0
        const val RETRY_WINDOW_S = 10
        const val MAX_WINDOW_S = 600
        const val COLD_OVER = 1.2
        const val COLD_SLACK = 2.0
    }
}
