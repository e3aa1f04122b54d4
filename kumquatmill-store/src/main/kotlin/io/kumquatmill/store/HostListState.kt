package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** State of a host in the platform's host list, which may lag behind; a host that is not listed is gone. */
@Serializable
enum class HostListState {
    /** The host is in service. */
    LIVE,

    /** The host completes its requests and gets no new ones. */
    LEAVING,
}
