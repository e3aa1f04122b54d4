package io.kumquatmill.node

/** Where an entry host is in its life. */
enum class Lifecycle(
    val wireName: String,
) {
    STARTING("starting"),
    LIVE("live"),
    DRAINING("draining"),
    STOPPED("stopped"),
}
