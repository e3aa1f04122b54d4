package io.kumquatmill.routing.health

/** Where an entry host learned that a worker is leaving. */
enum class DrainSource {
    /** The worker refused a request because it drains. */
    ANSWER,

    /** The worker's load report. */
    LOAD_REPORT,

    /** The platform's lagging list of hosts. */
    HOST_LIST,

    /** An operator's request. */
    OPERATOR,
}
