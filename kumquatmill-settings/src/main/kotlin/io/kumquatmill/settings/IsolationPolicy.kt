package io.kumquatmill.settings

/** How a host handles requests that need a key while it cannot confirm that its configuration is current. */
enum class IsolationPolicy(
    val settingValue: String,
) {
    REFUSE("refuse"),
    SERVE("serve"),
}
