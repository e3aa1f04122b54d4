package io.kumquatmill.membership

/** What a host does with routes that need a key while it has no fresh word of the configuration. */
enum class IsolationPolicy {
    /** It refuses them, so that a withdrawn key stops within seconds. */
    REFUSE,

    /** It goes on serving, and may serve keys that were withdrawn meanwhile. */
    SERVE,
}
