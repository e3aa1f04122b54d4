package io.kumquatmill.membership.fleet

import io.kumquatmill.common.fleet.Member

/** Availability of an entry host to callers. */
enum class KnownHostState {
    /** The host can serve callers. */
    LIVE,

    /** The host completes its requests; new callers are sent elsewhere. */
    LEAVING,

    /** The host cannot serve. */
    GONE,
}

/** An entry host that is in the roster, has a record, or both. */
data class KnownHost(
    val member: Member,
    val state: KnownHostState,
)
