package io.kumquatmill.bench.overload

internal val regionByZone =
    mapOf(
        "east-a" to "east",
        "east-b" to "east",
        "west-a" to "west",
        "west-b" to "west",
        "north-a" to "north",
        "north-b" to "north",
    )
private val unevenWorkersByZone = mapOf("east-a" to 6, "east-b" to 6, "west-a" to 7, "west-b" to 7, "north-a" to 1, "north-b" to 1)
private val evenWorkersByZone = regionByZone.keys.associateWith { 5 }

/** Returns a pattern whose load takes nearly all slots even if every object is warm. */
private fun loadPattern(
    name: String,
    loadFactor: Double = 1.0,
    workersByZone: Map<String, Int> = unevenWorkersByZone,
    demandFactor: (zone: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
    slownessFactor: (worker: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
) = LoadPattern(
    name = name,
    regionByZone = regionByZone,
    hosts = 6,
    workersByZone = workersByZone,
    workerProfile = WorkerProfile(slots = 8, queueCapacity = 24, warmObjectCapacity = 35),
    requestProfiles =
        listOf(
            RequestProfile(
                name = "order",
                requestsPerS = 14.0 * loadFactor,
                objectsPerZone = 20,
                coldServiceTimeMs = 1_160.0,
                targetLatencyMs = 800,
                deadlineMs = 6_000,
                benefit = 2.0,
                lateBenefit = 0.4,
                priority = 0,
                isIdempotent = false,
            ),
            RequestProfile(
                name = "lookup",
                requestsPerS = 36.0 * loadFactor,
                objectsPerZone = 60,
                coldServiceTimeMs = 880.0,
                targetLatencyMs = 600,
                deadlineMs = 4_000,
                benefit = 1.0,
                lateBenefit = 0.2,
                priority = 1,
            ),
        ),
    durationMs = 30_000,
    demandFactor = demandFactor,
    slownessFactor = slownessFactor,
)

/** Load patterns, each with a typical kind of overload. */
internal object Patterns {
    /** Steady load; one of three regions has a fourteenth of the workers but a third of the callers. */
    val unevenRegions = loadPattern("uneven-regions")

    /** A third more load than the workers can handle even if all objects are warm. */
    val beyondCapacity = loadPattern("beyond-room", loadFactor = 1.9, workersByZone = evenWorkersByZone)

    /** The load of one region triples for 8 seconds. */
    val regionalBurst =
        loadPattern("regional-burst", demandFactor = { zone, nowMs ->
            if (zone.startsWith("west") &&
                nowMs in 10_000..18_000
            ) {
                3.0
            } else {
                1.0
            }
        })

    /** The load of the regions peaks in turn. */
    val wave =
        loadPattern("wave", workersByZone = evenWorkersByZone, demandFactor = { zone, nowMs ->
            val phase = regionByZone.values.distinct().indexOf(regionByZone.getValue(zone)) / 3.0
            1 + 0.6 * kotlin.math.sin(2 * Math.PI * (nowMs / 24_000.0 + phase))
        })

    /** One worker of each zone, a fifth of all workers, takes six times as long for 10 seconds. */
    val slowWorkers =
        loadPattern("slow-workers", loadFactor = 0.8, slownessFactor = { worker, nowMs ->
            if (worker.endsWith("-1") &&
                nowMs in 10_000..20_000
            ) {
                6.0
            } else {
                1.0
            }
        })

    /** Load beyond capacity and a burst in fleets in which each host hears from a worker only now and then. */
    val largeFleets =
        listOf(34, 98).flatMap { count ->
            listOf(beyondCapacity, regionalBurst).map { it.copy(name = "${it.name}-$count", hosts = count) }
        }

    val all =
        listOf(unevenRegions, beyondCapacity, regionalBurst, wave, slowWorkers) + largeFleets + SpeedPatterns.all + ScarcityPatterns.all
}
