package io.kumquatmill.node

import io.kumquatmill.configuration.model.KeyHash

/** A caller's question which entry hosts to use; [clientIp] places it in a region. */
data class LookUpQuery(
    val keyHash: KeyHash?,
    val clientIp: String,
)
