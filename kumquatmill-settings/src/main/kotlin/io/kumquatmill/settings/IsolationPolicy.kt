package io.kumquatmill.settings

/** What a host does with requests that need a key while it has no fresh word of the configuration. */
enum class IsolationPolicy(
    val wireName: String,
) {
    REFUSE("refuse"),
    SERVE("serve"),
}
