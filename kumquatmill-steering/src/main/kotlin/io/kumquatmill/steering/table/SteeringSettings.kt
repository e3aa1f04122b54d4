package io.kumquatmill.steering.table

/**
 * Settings of a [SteeringTable].
 *
 * @property maxHostUtilization part of a host's capacity that one workspace may use; a workspace with more demand is spread over more hosts
 * @property maxHosts hosts in an answer, and hosts over which a workspace is spread, at most
 * @property maxAlternates hosts in other regions in an answer, at most
 * @property cacheMs time for which callers may cache an answer
 * @property suspectCacheMs time for which callers may cache an answer that is empty or contains a suspected host
 * @property maxCacheEntries pairs of workspace and region whose answers the table caches, at most
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
