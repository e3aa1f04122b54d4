package io.kumquatmill.settings.section

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.settings.ForwardSettings
import io.kumquatmill.settings.HostSettings
import io.kumquatmill.settings.IsolationPolicy
import io.kumquatmill.settings.LogFormat
import io.kumquatmill.settings.LogLevel
import io.kumquatmill.settings.LogSettings
import io.kumquatmill.settings.MetricsSettings
import io.kumquatmill.settings.PlatformSettings
import io.kumquatmill.settings.QueueSettings
import io.kumquatmill.settings.RequestLimits
import io.kumquatmill.settings.SettingsDefaults
import io.kumquatmill.settings.StandingSettings

private const val MAX_BODY_LIMIT_BYTES = 64L * 1024 * 1024
private const val MAX_BUFFER_LIMIT_BYTES = 16L * 1024 * 1024 * 1024
private val headLimitRange = 1_024..1_048_576
private val countRange = 1..1_000_000

internal fun SectionReader.hostSettings(): HostSettings =
    HostSettings(
        id = HostId(name("id")),
        region = RegionId(name("region")),
        availabilityZone = AvailabilityZoneId(name("availability-zone")),
        callerAddress = address("caller-address"),
        peerAddress = address("peer-address"),
    )

internal fun SectionReader.platformSettings(): PlatformSettings =
    PlatformSettings(
        storeAddresses = addresses("store-addresses"),
        hostListAddress = address("host-list-address"),
        storeRegion = RegionId(name("store-region")),
        storeTimeoutMs = durationMs("store-timeout-ms", SettingsDefaults.STORE_TIMEOUT_MS),
        hostListIntervalMs = durationMs("host-list-interval-ms", SettingsDefaults.HOST_LIST_INTERVAL_MS),
    )

internal fun SectionReader.requestLimits(): RequestLimits =
    RequestLimits(
        maxHeadBytes = int("max-head-bytes", headLimitRange, SettingsDefaults.MAX_HEAD_BYTES),
        maxBodyBytes = long("max-body-bytes", 0..MAX_BODY_LIMIT_BYTES, SettingsDefaults.MAX_BODY_BYTES),
        maxResponseBytes = long("max-answer-bytes", 1..MAX_BODY_LIMIT_BYTES, SettingsDefaults.MAX_RESPONSE_BYTES),
        maxBufferedBytes = long("max-held-bytes", 1..MAX_BUFFER_LIMIT_BYTES, SettingsDefaults.MAX_BUFFERED_BYTES),
        maxConnections = int("max-connections", countRange, SettingsDefaults.MAX_CONNECTIONS),
        maxRequestsInFlight = int("max-requests-in-flight", countRange, SettingsDefaults.MAX_REQUESTS_IN_FLIGHT),
        headTimeoutMs = durationMs("head-timeout-ms", SettingsDefaults.HEAD_TIMEOUT_MS),
        bodyTimeoutMs = durationMs("body-timeout-ms", SettingsDefaults.BODY_TIMEOUT_MS),
        idleTimeoutMs = durationMs("idle-timeout-ms", SettingsDefaults.IDLE_TIMEOUT_MS),
        stopTimeoutMs = durationMs("stop-timeout-ms", SettingsDefaults.STOP_TIMEOUT_MS),
    )

internal fun SectionReader.queueSettings(): QueueSettings =
    QueueSettings(
        maxPerWorkspace = int("max-per-workspace", countRange, SettingsDefaults.MAX_QUEUED_PER_WORKSPACE),
        rateWaitMs = durationMs("rate-wait-ms", SettingsDefaults.RATE_WAIT_MS),
        ringCapacity = int("ring-capacity", countRange, SettingsDefaults.RING_CAPACITY),
        peerRingCapacity = int("peer-ring-capacity", countRange, SettingsDefaults.PEER_RING_CAPACITY),
    )

internal fun SectionReader.forwardSettings(): ForwardSettings =
    ForwardSettings(
        connectTimeoutMs = durationMs("connect-timeout-ms", SettingsDefaults.CONNECT_TIMEOUT_MS),
        freshConnectionMs = durationMs("fresh-connection-ms", SettingsDefaults.FRESH_CONNECTION_MS),
        idleConnectionMs = durationMs("idle-connection-ms", SettingsDefaults.IDLE_CONNECTION_MS),
        loadIntervalMs = durationMs("load-interval-ms", SettingsDefaults.LOAD_INTERVAL_MS),
        loadTimeoutMs = durationMs("load-timeout-ms", SettingsDefaults.LOAD_TIMEOUT_MS),
    )

internal fun SectionReader.standingSettings(): StandingSettings =
    StandingSettings(
        isolationPolicy =
            choice("isolation-policy", IsolationPolicy.entries.associateBy { it.settingValue }, SettingsDefaults.isolationPolicy)
                ?: SettingsDefaults.isolationPolicy,
        standingMs = durationMs("standing-ms", SettingsDefaults.STANDING_MS),
        freshnessMs = durationMs("freshness-ms", SettingsDefaults.FRESHNESS_MS),
    )

internal fun SectionReader.logSettings(): LogSettings =
    LogSettings(
        format =
            choice("format", LogFormat.entries.associateBy { it.settingValue }, SettingsDefaults.logFormat)
                ?: SettingsDefaults.logFormat,
        level = choice("level", LogLevel.entries.associateBy { it.settingValue }, SettingsDefaults.logLevel) ?: SettingsDefaults.logLevel,
        isDecisionLogEnabled = boolean("decisions", default = true),
    )

internal fun SectionReader.metricsSettings(): MetricsSettings = MetricsSettings(isEnabled = boolean("enabled", default = true))
