package io.kumquatmill.routing.queue

/** Result of an attempt to dispatch a request from a [FairQueue]. */
enum class DispatchStatus {
    /** The request was sent, and is removed from the queue. */
    DISPATCHED,

    /** The workspace of the request can't send now. The queue skips it and continues with the other workspaces. */
    SKIP_WORKSPACE,

    /** No slot is free, so that the queue stops dispatching. */
    NO_SLOTS,
}
