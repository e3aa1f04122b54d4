package io.kumquatmill.node.request

/**
 * Whether this host may serve requests now.
 *
 * Without [hasStanding] it may not spend its shares of the limits. Unless [isConfigurationFresh], it may not know of
 * withdrawn keys and refuses requests on routes that need a key.
 */
internal data class HostReadiness(
    val isStopping: Boolean,
    val isStarting: Boolean,
    val hasStanding: Boolean,
    val isConfigurationFresh: Boolean,
)
