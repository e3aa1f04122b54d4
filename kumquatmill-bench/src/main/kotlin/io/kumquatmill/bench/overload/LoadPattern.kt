package io.kumquatmill.bench.overload

/**
 * A deployment and the load that its callers put on it.
 *
 * @property regionByZone region of each availability zone
 * @property hosts number of entry hosts, distributed evenly over the zones
 * @property workersByZone number of workers in each zone
 * @property workspacePriorities priority of each workspace; callers belong to all of them alike; empty means requests without a workspace
 * @property durationMs time during which callers send requests
 * @property demandFactor factor on the request rate of a zone at a given time
 * @property slownessFactor factor on the service time of a worker at a given time
 * @property reportsSpeed whether workers report this factor with their load
 */
internal data class LoadPattern(
    val name: String,
    val regionByZone: Map<String, String>,
    val hosts: Int,
    val workersByZone: Map<String, Int>,
    val workerProfile: WorkerProfile,
    val requestProfiles: List<RequestProfile>,
    val durationMs: Long,
    val workspacePriorities: List<Int> = emptyList(),
    val demandFactor: (zone: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
    val slownessFactor: (worker: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
    val reportsSpeed: Boolean = false,
)
