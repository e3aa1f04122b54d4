package io.kumquatmill.membership

/** Where a host is on its way into and out of the fleet. */
enum class MembershipLifecycle {
    /** The store has not answered yet. */
    STARTING,

    /** The host has an incarnation but is not in the roster. */
    JOINING,

    /** The host is in the roster. */
    MEMBER,

    /** The host ends its requests and gets no new callers. */
    LEAVING,

    /** The host has no requests and waits for its record to be removed. */
    DEPARTING,

    /** The host may exit. */
    LEFT,
}
