package io.kumquatmill.routing.health

/** The workers of one upstream in one region, which are compared with each other. */
internal class WorkerGroup(
    val states: List<WorkerState>,
) {
    var medianLatencyMs: Double = 0.0
        private set
    private var evaluatedAtMs: Long = Long.MIN_VALUE

    val ejectedCount: Int
        get() = states.count { it.isEjected }

    fun mayEject(settings: HealthSettings): Boolean = ejectedCount + 1 <= states.size * settings.maxEjectedPart

    fun isEvaluationDue(nowMs: Long): Boolean = evaluatedAtMs == Long.MIN_VALUE || nowMs - evaluatedAtMs >= EVALUATION_INTERVAL_MS

    /** Updates the median latency and returns the workers that are slow against it, the slowest first. */
    fun evaluate(
        nowMs: Long,
        settings: HealthSettings,
    ): List<WorkerState> {
        evaluatedAtMs = nowMs
        val measured = states.filter { !it.isEjected && it.latencySamples >= settings.outlierMinSamples }
        if (measured.size < MIN_COMPARED_WORKERS) return emptyList()
        medianLatencyMs = measured.map { it.latencyMs }.sorted()[measured.size / 2]
        val limitMs = slowLimitMs(settings)
        return measured.filter { it.latencyMs > limitMs }.sortedByDescending { it.latencyMs }
    }

    /** Returns whether an answer after [latencyMs] is slow against the median. */
    fun isSlow(
        latencyMs: Long,
        settings: HealthSettings,
    ): Boolean = medianLatencyMs > 0.0 && latencyMs > slowLimitMs(settings)

    /** Returns whether a worker should have answered within [waitedMs]. */
    fun isTimeout(
        waitedMs: Long,
        settings: HealthSettings,
    ): Boolean = isSlow(waitedMs, settings) || waitedMs >= settings.unmeasuredTimeoutMs

    private fun slowLimitMs(settings: HealthSettings): Double =
        maxOf(medianLatencyMs * settings.outlierFactor, medianLatencyMs + settings.outlierMinMs)

    /** Returns how much slower than the median [state] is, from 1 to [MAX_SLOWNESS]; old measurements count less. */
    fun slowness(
        nowMs: Long,
        state: WorkerState,
    ): Double {
        if (state.latencySamples == 0 || medianLatencyMs <= 0.0) return 1.0
        val excess = (state.latencyMs / medianLatencyMs).coerceIn(1.0, MAX_SLOWNESS) - 1.0
        val freshPart = 1.0 - (nowMs - state.latencyAtMs).toDouble() / LATENCY_MEMORY_MS
        return 1.0 + excess * freshPart.coerceAtLeast(0.0)
    }

    private companion object {
        const val EVALUATION_INTERVAL_MS = 250L
        const val MIN_COMPARED_WORKERS = 3
        const val LATENCY_MEMORY_MS = 5_000.0
        const val MAX_SLOWNESS = 4.0
    }
}
