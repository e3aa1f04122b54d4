package io.kumquatmill.bench.overload

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash

private val zones = mapOf("a-1" to "a", "a-2" to "a", "b-1" to "b", "b-2" to "b", "c-1" to "c", "c-2" to "c")

/** Load patterns with workers whose speed changes many times in a request's life, and that report it. */
internal object SpeedPatterns {
    private const val SPEED_CHANGE_MS = 600L
    private const val DRAWS = 1_000L
    private const val SLOW_DRAWS = 150
    private const val WORKERS_PER_ZONE = 12
    private const val SLOW_FACTOR = 2.5

    /** Returns the factor on the service time of [worker] at [nowMs]: others are slow after each change. */
    private fun slownessFactor(
        worker: String,
        nowMs: Long,
    ): Double {
        val draw = combineHashes(stableHash(worker), stableHash("${nowMs / SPEED_CHANGE_MS}")).mod(DRAWS)
        return if (draw < SLOW_DRAWS) SLOW_FACTOR else 1.0
    }

    /** Verdicts keep their workers. Archives have no affinity key, and meet their target latency at workers of the usual speed only. */
    private fun pattern(hostCount: Int) =
        LoadPattern(
            name = "changing-speeds-$hostCount",
            regionByZone = zones,
            hosts = hostCount,
            workersByZone = zones.keys.associateWith { WORKERS_PER_ZONE },
            workerProfile = WorkerProfile(slots = 4, queueCapacity = 12, warmObjectCapacity = 35),
            requestProfiles =
                listOf(
                    RequestProfile(
                        name = "verdict",
                        requestsPerS = 24.0,
                        objectsPerZone = 120,
                        coldServiceTimeMs = 748.0,
                        targetLatencyMs = 651,
                        deadlineMs = 4_343,
                        benefit = 1.0,
                        lateBenefit = 0.2,
                        priority = 0,
                    ),
                    RequestProfile(
                        name = "archive",
                        requestsPerS = 24.0,
                        objectsPerZone = 1_000,
                        coldServiceTimeMs = 654.0,
                        targetLatencyMs = 803,
                        deadlineMs = 4_836,
                        benefit = 1.0,
                        lateBenefit = 0.2,
                        priority = 0,
                        hasAffinity = false,
                    ),
                ),
            durationMs = 30_000,
            slownessFactor = ::slownessFactor,
            reportsSpeed = true,
        )

    val all = listOf(7, 34, 98).map(::pattern)
}
