package io.kumquatmill.steering.table

/**
 * Settings of a [SteeringTable].
 *
 * @property maxHostUtilization fraction of a host's capacity that one workspace may use; with more demand, it is spread over more hosts.
 * @property maxHosts maximum number of hosts in an answer, and of hosts over which a workspace is spread.
 * @property maxAlternates maximum number of hosts in other regions in an answer.
 * @property cacheMs time for which callers may cache an answer.
 * @property suspectCacheMs time for which callers may cache an answer that is empty or contains a suspected host.
 * @property maxCacheEntries maximum number of pairs of workspace and region whose answers the table caches.
 */
data class SteeringSettings(
    val maxHostUtilization: Double = DEFAULT_MAX_HOST_UTILIZATION,
    val maxHosts: Int = DEFAULT_MAX_HOSTS,
    val maxAlternates: Int = DEFAULT_MAX_ALTERNATES,
    val cacheMs: Long = DEFAULT_CACHE_MS,
    val suspectCacheMs: Long = DEFAULT_SUSPECT_CACHE_MS,
    val maxCacheEntries: Int = DEFAULT_MAX_CACHE_ENTRIES,
) {
    companion object {
        const val DEFAULT_MAX_HOST_UTILIZATION: Double = 0.25
        const val DEFAULT_MAX_HOSTS: Int = 4
        const val DEFAULT_MAX_ALTERNATES: Int = 3
        const val DEFAULT_CACHE_MS: Long = 10_000
        const val DEFAULT_SUSPECT_CACHE_MS: Long = 2_000
        const val DEFAULT_MAX_CACHE_ENTRIES: Int = 20_000
    }
}
