package io.kumquatmill.settings

/**
 * Format and level of the log.
 *
 * @property isDecisionLogEnabled whether routing decisions are logged.
 */
data class LogSettings(
    val format: LogFormat,
    val level: LogLevel,
    val isDecisionLogEnabled: Boolean,
)

/** Format of log lines. */
enum class LogFormat(
    val settingValue: String,
) {
    TEXT("text"),
    JSON("json"),
}

/** Minimum severity of the log lines that are written. */
enum class LogLevel(
    val settingValue: String,
) {
    DEBUG("debug"),
    INFO("info"),
    WARN("warn"),
    ERROR("error"),
}
