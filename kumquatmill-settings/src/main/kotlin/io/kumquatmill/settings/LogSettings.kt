package io.kumquatmill.settings

/** What is logged and how. */
data class LogSettings(
    val format: LogFormat,
    val level: LogLevel,
    val logsDecisions: Boolean,
)

/** Form of a log line. */
enum class LogFormat(
    val wireName: String,
) {
    TEXT("text"),
    JSON("json"),
}

/** Least severity of a log line that is written. */
enum class LogLevel(
    val wireName: String,
) {
    DEBUG("debug"),
    INFO("info"),
    WARN("warn"),
    ERROR("error"),
}
