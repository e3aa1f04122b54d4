package io.kumquatmill.traffic.placement

/** Weights and times of a [Placement]. Network latencies are those stated by the platform. */
data class PlacementSettings(
    /** Number of objects that a worker is assumed to cache: workers cache some tens, and each host sees only some of them. */
    val cachedKeysPerWorker: Int = 25,
    /** Number of top-ranked workers that a key may use. More would spread the key over workers that do not have its object cached. */
    val maxCandidates: Int = 3,
    /** How many times a caller prefers a worker of its own region; docs/OVERLOAD.md has the results for other values. */
    val ownRegionPreference: Double = 10.0,
    /**
     * Maximum fraction of busy slots at which a worker still receives a request for an object that it does not have cached, as such a
     * request takes several times as long.
     */
    val uncachedKeyMaxLoad: Double = 0.7,
    /** Cost added per rank to the expected time, so that idle workers always serve a key at the same worker. */
    val rankPenaltyMs: Double = 20.0,
    /** Round-trip time to a worker in another region. */
    val crossRegionRoundTripMs: Double = 75.0,
    /** How many times the usual service time a cold worker needs. */
    val coldWorkerFactor: Double = 2.0,
    /** Duration of the first ejection of an unreachable worker. It doubles with each further failure, up to [maxEjectionMs]. */
    val baseEjectionMs: Long = 500,
    val maxEjectionMs: Long = 4_000,
    /** How long a worker is left out after a 421, the first time. It doubles with each further one, up to [maxMisdirectedMs]. */
    val baseMisdirectedMs: Long = 1_000,
    val maxMisdirectedMs: Long = 8_000,
    /** Consecutive failures after which a worker is ejected even if its connections can be opened. */
    val failuresToEject: Int = 3,
    /**
     * Maximum number of requests in flight from this host to a worker, for each of its slots. A worker keeps waiting requests in memory
     * and ends when that is exceeded. The waiting time that is allowed usually ends far below; this also bounds requests to workers whose
     * service time is not known yet.
     */
    val maxInFlightPerSlot: Int = 32,
    /** How long a worker's load report is used to estimate the load from other hosts. */
    val loadReportTtlMs: Long = 1_500,
    /** Maximum number of workers whose load a host tells the hosts of its region in one report; 0 tells none. */
    val sharedLoadsPerReport: Int = 16,
    /** Hosts tell each other the loads of workers only in larger fleets, as in smaller ones each host hears from a worker often enough. */
    val minHostsToShareLoads: Int = 20,
    /**
     * How long the speed that a worker reports is used, with falling weight; 0 ignores it. Workers that report their speed change it
     * every 600 ms.
     */
    val reportedSpeedTtlMs: Long = 600,
    /**
     * Fraction of the time between the expected service time and the target latency that a request may wait, by priority rank
     * (highest priority first).
     */
    val maxWaitFractions: List<Double> = DEFAULT_MAX_WAIT_FRACTIONS,
) {
    private companion object {
        val DEFAULT_MAX_WAIT_FRACTIONS = listOf(0.9, 0.7, 0.5)
    }
}
