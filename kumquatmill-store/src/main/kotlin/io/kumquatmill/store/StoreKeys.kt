package io.kumquatmill.store

/** Keys of the key-value store that entry hosts and operators' tools share. */
object StoreKeys {
    /** Key of the configuration document. */
    const val CONFIGURATION: String = "config/lists"

    /** Prefix of the records of live entry hosts, followed by the host name. */
    const val HOST_PREFIX: String = "hosts/"

    /** Prefix of requests to drain a host, worker or upstream, followed by its name. */
    const val DRAIN_PREFIX: String = "drain/"
}
