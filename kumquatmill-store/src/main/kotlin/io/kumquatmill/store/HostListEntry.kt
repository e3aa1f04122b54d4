package io.kumquatmill.store

import io.kumquatmill.common.id.HostId
import kotlinx.serialization.Serializable

/** State of a host in the platform's lagging list; a host that is not listed is gone. */
@Serializable
enum class HostListState {
    LIVE,
    LEAVING,
}

/** One row of the platform's list of live and leaving hosts, of entry hosts and of worker hosts alike. */
@Serializable
data class HostListEntry(
    val host: HostId,
    val state: HostListState,
)
