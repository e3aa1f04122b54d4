package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.store.LeaseId
import kotlinx.serialization.Serializable

/** State that a host states of itself. */
@Serializable
enum class HostRecordState {
    LIVE,
    LEAVING,
}

/** Value of the entry `hosts/<host>`, which vanishes with the host's [lease]. */
@Serializable
data class HostRecord(
    val member: Member,
    val state: HostRecordState,
    val lease: LeaseId,
)
