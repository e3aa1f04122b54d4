package io.kumquatmill.bench.overload

import io.kumquatmill.common.hash.stableHash

/**
 * Load patterns with four kinds of requests, like those of the deployments M and P of docs/design/hard-load.md.
 *
 * Workers and load are scaled down by the same factor, so that each host knows as much of each worker as in the deployment.
 */
internal object ScarcityPatterns {
    private val workspacePriorities = listOf(0, 1, 1, 1, 2, 2)
    private val lectureRequests =
        listOf(
            profile(
                "catalogue",
                perS = 701.0,
                serviceMs = 2_243.0,
                targetMs = 1_558,
                deadlineMs = 12_380,
                benefits = 0.92 to 0.18,
                priority = 1,
            ),
            profile(
                "enrolment",
                perS = 325.0,
                serviceMs = 2_906.0,
                targetMs = 4_051,
                deadlineMs = 15_191,
                benefits = 0.92 to 0.28,
                priority = 2,
            ).copy(isIdempotent = false),
            profile(
                "archive",
                perS = 99.0,
                serviceMs = 1_791.0,
                targetMs = 1_339,
                deadlineMs = 11_157,
                benefits = 0.92 to 0.18,
                priority = 1,
            ).copy(isBulk = true),
            profile("playback", perS = 274.0, serviceMs = 876.0, targetMs = 548, deadlineMs = 4_383, benefits = 3.5 to 0.28, priority = 0),
        )
    private val photoRequests =
        listOf(
            profile("verdict", perS = 453.0, serviceMs = 748.0, targetMs = 651, deadlineMs = 4_343, benefits = 1.0 to 0.2, priority = 2),
            profile("reject", perS = 209.0, serviceMs = 981.0, targetMs = 856, deadlineMs = 6_417, benefits = 2.0 to 0.4, priority = 1)
                .copy(isIdempotent = false),
            profile("archive", perS = 62.0, serviceMs = 654.0, targetMs = 803, deadlineMs = 4_836, benefits = 1.0 to 0.2, priority = 2)
                .copy(isBulk = true),
            profile(
                "report",
                perS = 100.0,
                serviceMs = 3_009.0,
                targetMs = 2_582,
                deadlineMs = 20_377,
                benefits = 1.0 to 0.2,
                priority = 2,
            ),
        ).map { it.copy(slowFraction = SLOW_REQUEST_FRACTION) }

    /** Like M: a region has a fifth of the workers of another one, and the load exceeds what the workers can handle. */
    fun lectures(hosts: Int): LoadPattern =
        pattern(
            name = "lectures-$hosts",
            hosts = hosts,
            workersByZone = workersByZone(large = 15, small = 3),
            workerProfile = WorkerProfile(slots = 9, queueCapacity = 24, warmObjectCapacity = 35),
            load = LECTURES_LOAD,
            requestProfiles = lectureRequests,
        )

    /** Like P: 15 % of the workers are 2.5 times slower than usual, others every 600 ms, and 3 % of the requests take 7 times as long. */
    fun photos(hosts: Int): LoadPattern =
        pattern(
            name = "photos-$hosts",
            hosts = hosts,
            workersByZone = workersByZone(large = 20, small = 8),
            workerProfile = WorkerProfile(slots = 4, queueCapacity = 16, warmObjectCapacity = 35),
            load = PHOTOS_LOAD,
            requestProfiles = photoRequests,
        ).copy(slownessFactor = { worker, nowMs -> if (isSlow(worker, nowMs)) SLOW_WORKER_FACTOR else 1.0 })

    private val hostCounts = listOf(SMALL_FLEET, MEDIUM_FLEET, LARGE_FLEET)

    val all = hostCounts.map(::lectures) + hostCounts.map(::photos)

    /** Returns a pattern whose zones each have [load] times the requests per second of [requestProfiles]. */
    private fun pattern(
        name: String,
        hosts: Int,
        workersByZone: Map<String, Int>,
        workerProfile: WorkerProfile,
        load: Double,
        requestProfiles: List<RequestProfile>,
    ) = LoadPattern(
        name = name,
        regionByZone = regionByZone,
        hosts = hosts,
        workersByZone = workersByZone,
        workerProfile = workerProfile,
        requestProfiles = requestProfiles.map { it.copy(requestsPerS = it.requestsPerS * load) },
        durationMs = DURATION_MS,
        workspacePriorities = workspacePriorities,
        demandFactor = ::burst,
    )

    /** Returns a profile with the requests per second of the deployment, and the benefits of a response in time and of a late one. */
    private fun profile(
        name: String,
        perS: Double,
        serviceMs: Double,
        targetMs: Long,
        deadlineMs: Long,
        benefits: Pair<Double, Double>,
        priority: Int,
    ) = RequestProfile(
        name = name,
        requestsPerS = perS,
        objectsPerZone = OBJECTS_PER_ZONE,
        coldServiceTimeMs = serviceMs,
        targetLatencyMs = targetMs,
        deadlineMs = deadlineMs,
        benefit = benefits.first,
        lateBenefit = benefits.second,
        priority = priority,
    )

    /** The load is moderate at first, so that workers have objects cached, and exceeds the capacity for most of the time. */
    private fun burst(
        @Suppress("UNUSED_PARAMETER") zone: String,
        nowMs: Long,
    ): Double = if (nowMs in BURST_MS) BURST_FACTOR else 1.0

    /** Returns the number of workers in each zone: [small] in those of one region, [large] in the others. */
    private fun workersByZone(
        large: Int,
        small: Int,
    ): Map<String, Int> = regionByZone.mapValues { (_, region) -> if (region == "north") small else large }

    private fun isSlow(
        worker: String,
        nowMs: Long,
    ): Boolean = Math.floorMod(stableHash("$worker/${nowMs / SLOW_PERIOD_MS}"), PERCENT) < SLOW_PERCENT

    /** Load of each of the six zones as a multiple of that of the deployment, for a quarter of its workers. */
    private const val LECTURES_LOAD = 0.25 / 6

    /** Load of each of the six zones as a multiple of that of the deployment, for half of its workers. */
    private const val PHOTOS_LOAD = 0.5 / 6
    private const val OBJECTS_PER_ZONE = 60
    private const val DURATION_MS = 30_000L
    private val BURST_MS = 8_000L..24_000L
    private const val BURST_FACTOR = 3.0
    private const val SLOW_PERIOD_MS = 600L
    private const val SLOW_REQUEST_FRACTION = 0.03
    private const val SLOW_WORKER_FACTOR = 2.5
    private const val SMALL_FLEET = 7
    private const val MEDIUM_FLEET = 34
    private const val LARGE_FLEET = 98
    private const val PERCENT = 100L
    private const val SLOW_PERCENT = 15
}
