package io.kumquatmill.store

import io.kumquatmill.common.id.HostId
import kotlinx.serialization.Serializable

/** One row of the platform's list of live and leaving hosts, of entry hosts and of worker hosts alike. */
@Serializable
data class HostListEntry(
    val host: HostId,
    val state: HostListState,
)
