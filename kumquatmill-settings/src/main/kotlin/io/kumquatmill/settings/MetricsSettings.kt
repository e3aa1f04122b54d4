package io.kumquatmill.settings

/** Whether the daemon shows its metrics to callers of `/metrics`. */
data class MetricsSettings(
    val isEnabled: Boolean,
)
