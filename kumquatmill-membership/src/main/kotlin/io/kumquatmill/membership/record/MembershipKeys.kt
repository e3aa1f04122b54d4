package io.kumquatmill.membership.record

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.StoreKeys

/** Keys of the key-value service that membership reads and writes. */
object MembershipKeys {
    const val ROSTER: String = "roster"
    const val CONFIGURATION: String = StoreKeys.LISTS
    const val HOST_PREFIX: String = StoreKeys.HOST_PREFIX

    /** Prefix of all keys, so that one watch covers them. */
    const val ALL: String = ""

    /** Returns the key of the record of [host]. */
    fun host(host: HostId): String = HOST_PREFIX + host.value
}
