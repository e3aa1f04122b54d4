package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.store.LeaseId
import kotlinx.serialization.Serializable

/** State that a host publishes in its own record. */
@Serializable
enum class HostRecordState {
    /** The host serves callers. */
    LIVE,

    /** The host completes its requests and takes no new callers. */
    LEAVING,
}

/** Value of the entry `hosts/<host>`, which the store deletes when the host's [lease] expires. */
@Serializable
data class HostRecord(
    val member: Member,
    val state: HostRecordState,
    val lease: LeaseId,
)
