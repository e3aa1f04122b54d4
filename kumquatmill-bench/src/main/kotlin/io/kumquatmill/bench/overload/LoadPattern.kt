package io.kumquatmill.bench.overload

/**
 * A deployment and the load that its callers put on it.
 *
 * @property regionByZone region of each availability zone
 * @property hostsPerZone number of entry hosts in each zone
 * @property workersByZone number of workers in each zone
 * @property durationMs time during which callers send requests
 * @property demandFactor factor on the request rate of a zone at a given time
 * @property slownessFactor factor on the service time of a worker at a given time
 * @property reportsSpeed whether workers report this factor with their load
 * @property hostCount number of entry hosts, which are distributed evenly over the zones
 */
internal data class LoadPattern(
    val name: String,
    val regionByZone: Map<String, String>,
    val hostsPerZone: Int,
    val workersByZone: Map<String, Int>,
    val workerProfile: WorkerProfile,
    val requestProfiles: List<RequestProfile>,
    val durationMs: Long,
    val demandFactor: (zone: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
    val slownessFactor: (worker: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
    val reportsSpeed: Boolean = false,
    val hostCount: Int = regionByZone.size * hostsPerZone,
)
