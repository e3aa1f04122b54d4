package io.kumquatmill.node.request

/** Whether this host may decide on requests at the moment. */
internal data class HostFitness(
    val isStopping: Boolean,
    val isStarting: Boolean,
    val hasStanding: Boolean,
    val isConfigurationFresh: Boolean,
)
