package io.kumquatmill.routing.queue

/** What became of a waiting request that a [FairQueue] offered. */
enum class DispatchStep {
    /** The request was sent and leaves the queue. */
    DISPATCHED,

    /** The request's workspace can't send now, but others may: their requests are offered next. */
    PASS_OVER_WORKSPACE,

    /** Nothing can be sent now. */
    NO_SLOTS,
}
