package io.kumquatmill.membership.record

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.StoreKeys

/** Keys of the key-value store that membership reads and writes. */
object MembershipKeys {
    /** Key of the [RosterDocument]. */
    const val ROSTER: String = "roster"

    /** Key of the operators' configuration. */
    const val CONFIGURATION: String = StoreKeys.CONFIGURATION

    /** Prefix of the keys of all [HostRecord]s. */
    const val HOST_PREFIX: String = StoreKeys.HOST_PREFIX

    /** Empty prefix, so that one watch covers all keys. */
    const val ALL: String = ""

    /** Returns the key of the record of [host]. */
    fun host(host: HostId): String = HOST_PREFIX + host.value
}
