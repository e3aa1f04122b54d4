package io.kumquatmill.routing.health

/** Source from which an entry host learned that a worker is draining. */
enum class DrainSource {
    /** A response of the worker, which refused a request because it is draining. */
    ANSWER,

    /** The worker's load report. */
    LOAD_REPORT,

    /** The platform's host list, which lags behind. */
    HOST_LIST,

    /** A drain request of an operator. */
    OPERATOR,
}
