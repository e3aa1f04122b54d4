package io.kumquatmill.store

import io.kumquatmill.common.id.HostId
import kotlinx.serialization.Serializable

/** One entry of the platform's list of live and leaving hosts, which contains both entry hosts and worker hosts. */
@Serializable
data class HostListEntry(
    val host: HostId,
    val state: HostListState,
)
