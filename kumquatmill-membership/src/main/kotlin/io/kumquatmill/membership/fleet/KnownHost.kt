package io.kumquatmill.membership.fleet

import io.kumquatmill.common.fleet.Member

/** State of an entry host as far as callers are concerned. */
enum class KnownHostState {
    /** Callers may be sent to it. */
    LIVE,

    /** It ends its requests: new callers go elsewhere. */
    LEAVING,

    /** It can not serve. */
    GONE,
}

/** An entry host that the roster, its record or both name. */
data class KnownHost(
    val member: Member,
    val state: KnownHostState,
)
