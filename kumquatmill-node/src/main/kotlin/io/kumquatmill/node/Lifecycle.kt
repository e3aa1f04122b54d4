package io.kumquatmill.node

/** Lifecycle state of an entry host. */
enum class Lifecycle(
    val wireName: String,
) {
    STARTING("starting"),
    LIVE("live"),
    DRAINING("draining"),
    STOPPED("stopped"),
}
