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
import io.kumquatmill.traffic.admission.AdmissionMode
import io.kumquatmill.traffic.admission.AdmissionSettings
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.fleet.EntryHostInfo
import java.nio.file.Path
import kotlin.math.min

private const val ZONES_SECTION = "availability-zones"
private const val MILLIS_PER_SECOND = 1_000L
private val sectionNames =
    setOf("host", "listen", "peers", "store", "directory", "stop", "log", "retries", "cold-workers", "capacity", "overload", ZONES_SECTION)
private val admissionModes = AdmissionMode.entries.associateBy { it.name.lowercase().replace('_', '-') }
private val logLevels = listOf("debug", "info", "warn", "error").associateWith { it }

/** Reads and validates the INI file [file] of an entry host. Returns all errors that were found, not only the first one. */
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
        reportUnknownSections()
        val self =
            section("host") {
                EntryHostInfo(
                    host = name("id"),
                    ip = text("ip", "an IP address"),
                    region = name("region"),
                    availabilityZone = name("availability-zone"),
                )
            }.let { withCapacity(it) }
        val zones = zones()
        if (self.availabilityZone.isNotEmpty() && AvailabilityZoneId(self.availabilityZone) !in zones) {
            errors.add(
                SettingsError(
                    file,
                    "host",
                    "availability-zone",
                    self.availabilityZone,
                    "a zone of [$ZONES_SECTION]",
                    "add the zone to that section",
                ),
            )
        }
        val traffic = traffic(zones)
        val listen =
            section("listen") {
                ListenSettings(
                    address("callers"),
                    address("readiness"),
                    address("directory"),
                    address("peer-calls"),
                    int("peer-report-port", PORT_RANGE),
                    optionalPort("metrics-port"),
                    int("max-descriptors", MIN_DESCRIPTORS..Int.MAX_VALUE, DEFAULT_MAX_DESCRIPTORS),
                )
            }
        val store =
            section("store") {
                address("address") to int("recovery-ms", STORE_RECOVERY_RANGE_MS, DEFAULT_STORE_RECOVERY_MS).toLong()
            }
        return GatewaySettings(
            self = self,
            callerAddress = listen.callerAddress,
            maxCallerConnections = ((listen.maxDescriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_FRACTION).toInt(),
            readinessAddress = listen.readinessAddress,
            directoryAddress = listen.directoryAddress,
            peerStateAddress = listen.peerStateAddress,
            peerReportPort = listen.peerReportPort,
            metricsPort = listen.metricsPort,
            seeds = section("peers") { if (optionalText("seeds").isNullOrBlank()) emptyList() else addresses("seeds") },
            storeAddress = store.first,
            storeRecoveryMs = store.second,
            directoryTtlS = section("directory") { min(DIRECTORY_TTL_S, int("max-ttl-s", 1..MAX_DIRECTORY_TTL_S, DIRECTORY_TTL_S)) },
            stopTimeoutMs = section("stop") { int("within-s", 1..MAX_STOP_TIMEOUT_S, DEFAULT_STOP_TIMEOUT_S) * MILLIS_PER_SECOND },
            logLevel = section("log") { choice("level", logLevels, "info") ?: "info" },
            traffic = traffic,
        )
    }

    private class ListenSettings(
        val callerAddress: HostAddress,
        val readinessAddress: HostAddress,
        val directoryAddress: HostAddress,
        val peerStateAddress: HostAddress,
        val peerReportPort: Int,
        val metricsPort: Int?,
        val maxDescriptors: Int,
    )

    private fun traffic(zones: Map<AvailabilityZoneId, RegionId>): TrafficSettings {
        val retries =
            section("retries") {
                Triple(
                    positiveDouble("ratio", DEFAULT_RETRY_RATIO),
                    positiveDouble("reserve", DEFAULT_RETRY_RESERVE),
                    int("window-s", 1..MAX_RETRY_WINDOW_S, DEFAULT_RETRY_WINDOW_S) * MILLIS_PER_SECOND,
                )
            }
        val cold =
            section("cold-workers") {
                positiveDouble("over", DEFAULT_COLD_RATE_FACTOR) to
                    positiveDouble("slack", DEFAULT_COLD_RATE_SLACK)
            }
        return TrafficSettings(
            regionByZone = zones,
            retryRatio = retries.first,
            retryReserve = retries.second,
            retryWindowMs = retries.third,
            coldRateFactor = cold.first,
            coldRateSlack = cold.second,
            admission =
                section("overload") {
                    val default = AdmissionSettings().mode
                    AdmissionSettings(choice("admission", admissionModes, default) ?: default)
                },
        )
    }

    /** Returns [host] with its capacity. The processor share and the speed of a core are separate, as templates cannot multiply. */
    private fun withCapacity(host: EntryHostInfo): EntryHostInfo =
        section("capacity") {
            val cpuShare = optionalPositiveDouble("cpu-share")
            val coreSpeed = optionalPositiveDouble("core-speed")
            host.copy(
                cores = if (cpuShare == null && coreSpeed == null) null else (cpuShare ?: 1.0) * (coreSpeed ?: 1.0),
                linkMbps = optionalPositiveDouble("link-mbps"),
                memoryMb = optionalPositiveDouble("memory-mb"),
            )
        }

    private fun SectionReader.optionalPositiveDouble(key: String): Double? =
        if (optionalText(key).isNullOrBlank()) null else positiveDouble(key)

    private fun zones(): Map<AvailabilityZoneId, RegionId> =
        section(ZONES_SECTION) { optionsWithPrefix("") }.entries.associate { (zone, region) ->
            AvailabilityZoneId(zone) to RegionId(region)
        }

    private fun SectionReader.optionalPort(key: String): Int? = if (optionalText(key).isNullOrBlank()) null else int(key, PORT_RANGE)

    private fun <T> section(
        name: String,
        read: SectionReader.() -> T,
    ): T {
        val found = sections.filter { it.name == name }
        if (found.size > 1) errors.add(SettingsError(file, name, null, "${found.size} sections", "one section", "merge the sections"))
        val reader = SectionReader(found.firstOrNull() ?: IniSection(file, name, emptyList()), errors)
        return reader.read().also { reader.reportUnknownKeys() }
    }

    private fun reportUnknownSections() =
        sections.filter { it.name !in sectionNames }.forEach { section ->
            errors.add(
                SettingsError(file, section.name, null, section.name, "one of ${sectionNames.joinToString(", ")}", "correct or remove it"),
            )
        }

    private companion object {
        /** File descriptor limit that is assumed if the settings state none: the usual limit of a service. */
        const val DEFAULT_MAX_DESCRIPTORS = 4_096
        const val MIN_DESCRIPTORS = 512

        /** File descriptors that the platform reserves for regular files. */
        const val RESERVED_DESCRIPTORS = 200

        /** Fraction of the remaining file descriptors available to caller connections; workers, the store and peers need the rest. */
        const val CALLER_DESCRIPTOR_FRACTION = 0.6

        val PORT_RANGE = 1..65_535

        /** A shorter time does not suffice for a watch, its time-out, and a snapshot from another region. */
        val STORE_RECOVERY_RANGE_MS = 2_000..600_000
        const val DEFAULT_STORE_RECOVERY_MS = 4_000

        /** Short enough that callers abandon a failed host within seconds, long enough to keep lookups few. */
        const val DIRECTORY_TTL_S = 2
        const val MAX_DIRECTORY_TTL_S = 3_600
        const val DEFAULT_STOP_TIMEOUT_S = 6
        const val MAX_STOP_TIMEOUT_S = 600

        /** Defaults for a deployment that does not set these options. */
        const val DEFAULT_RETRY_RATIO = 0.2
        const val DEFAULT_RETRY_RESERVE = 50.0
        const val DEFAULT_RETRY_WINDOW_S = 10
        const val MAX_RETRY_WINDOW_S = 600
        const val DEFAULT_COLD_RATE_FACTOR = 1.2
        const val DEFAULT_COLD_RATE_SLACK = 2.0
    }
}
