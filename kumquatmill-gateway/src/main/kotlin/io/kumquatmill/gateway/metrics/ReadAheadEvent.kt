package io.kumquatmill.gateway.metrics

/** Event in the life of a request that is read ahead on a caller's connection; [wireName] is its name in the metrics. */
enum class ReadAheadEvent(
    val wireName: String,
) {
    /** Its head was read while an earlier request was in progress, and it was admitted or refused. */
    STARTED("started"),

    /** Its turn came, and the server has read the same head. */
    TAKEN("taken"),

    /** The connection was closed before its turn came. */
    CANCELLED("cancelled"),

    /** There was no room for its response, so that it runs again in its turn. */
    DISCARDED("discarded"),

    /** The server has read another head at its position. */
    MISMATCHED("mismatched"),
}
