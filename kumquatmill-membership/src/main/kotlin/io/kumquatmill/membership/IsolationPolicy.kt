package io.kumquatmill.membership

/** What a host does with requests to routes that need a key while it cannot confirm that its configuration is current. */
enum class IsolationPolicy {
    /** Refuses them, so that a withdrawn key stops working within seconds. */
    REFUSE,

    /** Continues to serve them, possibly with keys that have been withdrawn in the meantime. */
    SERVE,
}
