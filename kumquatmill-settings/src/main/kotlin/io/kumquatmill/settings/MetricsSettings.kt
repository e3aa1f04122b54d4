package io.kumquatmill.settings

/** Whether the daemon exposes its metrics on `/metrics`. */
data class MetricsSettings(
    val isEnabled: Boolean,
)
