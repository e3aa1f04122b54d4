package io.kumquatmill.gateway.store

/**
 * Where the entries lie that an entry host follows.
 *
 * @property desiredKey key of the desired state
 * @property evacuationPrefix prefix of the keys that name evacuated zones
 * @property workerPrefix prefix of the workers' entries
 * @property hostPrefix prefix of the records of entry hosts
 */
data class StateKeys(
    val desiredKey: String,
    val evacuationPrefix: String,
    val workerPrefix: String,
    val hostPrefix: String,
    val followedPrefixes: List<String>,
)
