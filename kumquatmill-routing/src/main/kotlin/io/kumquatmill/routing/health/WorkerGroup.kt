package io.kumquatmill.routing.health

/** The workers of one upstream in one region, whose latencies are compared with each other. */
internal class WorkerGroup(
    val states: List<WorkerState>,
) {
    var medianLatencyMs: Double = 0.0
        private set
    private var evaluatedAtMs: Long = Long.MIN_VALUE

    val ejectedCount: Int
        get() = states.count { it.isEjected }

    fun mayEject(settings: HealthSettings): Boolean = ejectedCount + 1 <= states.size * settings.maxEjectedFraction

    fun isEvaluationDue(nowMs: Long): Boolean = evaluatedAtMs == Long.MIN_VALUE || nowMs - evaluatedAtMs >= EVALUATION_INTERVAL_MS

    /** Updates the median latency and returns the workers that are outliers against it, slowest first. */
    fun updateMedianAndFindOutliers(
        nowMs: Long,
        settings: HealthSettings,
    ): List<WorkerState> {
        evaluatedAtMs = nowMs
        val measured = states.filter { !it.isEjected && it.latencySamples >= settings.outlierMinSamples }
        if (measured.size < MIN_COMPARED_WORKERS) return emptyList()
        medianLatencyMs = measured.map { it.latencyMs }.sorted()[measured.size / 2]
        val limitMs = outlierThresholdMs(settings)
        return measured.filter { it.latencyMs > limitMs }.sortedByDescending { it.latencyMs }
    }

    /** Returns whether a response after [latencyMs] is an outlier against the median. */
    fun isSlow(
        latencyMs: Long,
        settings: HealthSettings,
    ): Boolean = medianLatencyMs > 0.0 && latencyMs > outlierThresholdMs(settings)

    /** Returns whether a worker should have responded within [waitedMs], so that the timeout counts as a failure. */
    fun isTimeoutFailure(
        waitedMs: Long,
        settings: HealthSettings,
    ): Boolean = isSlow(waitedMs, settings) || waitedMs >= settings.absoluteTimeoutMs

    private fun outlierThresholdMs(settings: HealthSettings): Double =
        maxOf(medianLatencyMs * settings.outlierLatencyFactor, medianLatencyMs + settings.outlierMinExcessMs)

    /** Returns the latency of [state] relative to the median, from 1 to [MAX_SLOWDOWN_FACTOR]; its weight decays with age. */
    fun slowdownFactor(
        nowMs: Long,
        state: WorkerState,
    ): Double {
        if (state.latencySamples == 0 || medianLatencyMs <= 0.0) return 1.0
        val excess = (state.latencyMs / medianLatencyMs).coerceIn(1.0, MAX_SLOWDOWN_FACTOR) - 1.0
        val freshness = 1.0 - (nowMs - state.latencyAtMs).toDouble() / LATENCY_TTL_MS
        return 1.0 + excess * freshness.coerceAtLeast(0.0)
    }

    private companion object {
        const val EVALUATION_INTERVAL_MS = 250L
        const val MIN_COMPARED_WORKERS = 3
        const val LATENCY_TTL_MS = 5_000.0
        const val MAX_SLOWDOWN_FACTOR = 4.0
    }
}
