package io.kumquatmill.gateway.http

/** Why a call needs a new connection; [wireName] is its name in metrics. */
enum class ConnectionNeed(
    val wireName: String,
) {
    /** No connection is idle that was used recently enough. */
    NONE_IDLE("none-idle"),

    /** All connections that are idle have carried the same request. */
    REPEAT("repeat"),
}
