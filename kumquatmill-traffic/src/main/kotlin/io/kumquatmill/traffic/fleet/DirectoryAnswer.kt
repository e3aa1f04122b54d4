package io.kumquatmill.traffic.fleet

/**
 * Hosts that a caller should use.
 *
 * @property isByCapacity whether [hosts] were chosen by their capacity; if not, all hosts are listed
 */
data class DirectoryAnswer(
    val hosts: List<EntryHostInfo>,
    val isByCapacity: Boolean,
)
