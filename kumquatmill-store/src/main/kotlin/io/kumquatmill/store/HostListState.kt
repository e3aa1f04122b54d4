package io.kumquatmill.store

import kotlinx.serialization.Serializable

/** State of a host in the platform's host list, which may lag behind; a host that is not listed is gone. */
@Serializable
enum class HostListState {
    LIVE,
    LEAVING,
}
