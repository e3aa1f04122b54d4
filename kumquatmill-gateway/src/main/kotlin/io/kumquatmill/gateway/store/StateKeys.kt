package io.kumquatmill.gateway.store

/**
 * Keys and key prefixes of the store entries that an entry host uses.
 *
 * @property desiredKey key of the desired state
 * @property evacuationPrefix prefix of the keys that mark evacuated availability zones; the rest of a key is the id of the zone
 * @property workerPrefix prefix of the keys of worker entries
 * @property hostPrefix prefix of the keys of entry host records
 * @property watchedPrefixes prefixes that a host watches
 */
data class StateKeys(
    val desiredKey: String,
    val evacuationPrefix: String,
    val workerPrefix: String,
    val hostPrefix: String,
    val watchedPrefixes: List<String>,
)
