package io.kumquatmill.membership

/** Lifecycle state of a host in the fleet. */
enum class MembershipLifecycle {
    /** The store has not replied yet, so the host has no incarnation. */
    STARTING,

    /** The host has an incarnation but is not in the roster. */
    JOINING,

    /** The host is in the roster. */
    MEMBER,

    /** The host completes its requests and gets no new callers. */
    LEAVING,

    /** The host has no requests left and waits for the removal of its record. */
    DEPARTING,

    /** The host may exit. */
    LEFT,
}
