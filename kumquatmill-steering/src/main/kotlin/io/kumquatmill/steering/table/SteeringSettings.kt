package io.kumquatmill.steering.table

/**
 * How look-ups spread callers over hosts.
 *
 * A workspace uses as many hosts as it needs to ask no more than [maxHostPart] of the capability of each, and at most
 * [maxHosts] with [maxAlternates] in other regions. Answers are cached for [cacheMs], or [suspectCacheMs] while a host
 * in them is suspected.
 */
data class SteeringSettings(
    val maxHostPart: Double = DEFAULT_MAX_HOST_PART,
    val maxHosts: Int = DEFAULT_MAX_HOSTS,
    val maxAlternates: Int = DEFAULT_MAX_ALTERNATES,
    val cacheMs: Long = DEFAULT_CACHE_MS,
    val suspectCacheMs: Long = DEFAULT_SUSPECT_CACHE_MS,
    val maxCachedOrders: Int = DEFAULT_MAX_CACHED_ORDERS,
) {
    companion object {
        const val DEFAULT_MAX_HOST_PART: Double = 0.25
        const val DEFAULT_MAX_HOSTS: Int = 4
        const val DEFAULT_MAX_ALTERNATES: Int = 3
        const val DEFAULT_CACHE_MS: Long = 10_000
        const val DEFAULT_SUSPECT_CACHE_MS: Long = 2_000
        const val DEFAULT_MAX_CACHED_ORDERS: Int = 20_000
    }
}
