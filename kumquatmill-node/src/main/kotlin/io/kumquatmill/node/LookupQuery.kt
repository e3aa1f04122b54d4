package io.kumquatmill.node

import io.kumquatmill.configuration.model.KeyHash

/**
 * A caller's request for the entry hosts to use.
 *
 * [keyHash] is null when the caller sent no key. [clientIp] determines the caller's region.
 */
data class LookupQuery(
    val keyHash: KeyHash?,
    val clientIp: String,
)
