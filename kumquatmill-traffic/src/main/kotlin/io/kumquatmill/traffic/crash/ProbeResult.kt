package io.kumquatmill.traffic.crash

/** Result of an attempt to open a connection to a worker. */
enum class ProbeResult {
    /** The connection was opened: a process listens at the address. */
    ACCEPTED,

    /** The connection was refused: no process listens at the address. */
    REFUSED,

    /** There was neither in time, so that nothing is known. */
    UNKNOWN,
}
