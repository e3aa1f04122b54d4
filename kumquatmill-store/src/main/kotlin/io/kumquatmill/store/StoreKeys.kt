package io.kumquatmill.store

/** Keys of the key-value service that operators' tools and entry hosts share. */
object StoreKeys {
    /** Key of the operators' lists. */
    const val LISTS: String = "config/lists"

    /** Prefix of the records of live entry hosts, by host name. */
    const val HOST_PREFIX: String = "hosts/"

    /** Prefix of the entries that ask for a host or an upstream to be drained, by its name. */
    const val DRAIN_PREFIX: String = "drain/"
}
